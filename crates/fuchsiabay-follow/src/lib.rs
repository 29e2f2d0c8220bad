//! Follows the configuration: readers poll the log, everybody else pulls from neighbours.
//!
//! This crate must not know routing or admission. It drives the reducer and the freshness rules of `fuchsiabay-config`
//! with sockets and clocks.

mod agent_follower;
mod entry_follower;
mod follower;
mod history;
mod links;

pub use agent_follower::{NeighbourSource, run_agent_follower};
pub use entry_follower::run_entry_follower;
pub use follower::ConfigFollower;
pub use history::{ConfigHistory, state_hash};
