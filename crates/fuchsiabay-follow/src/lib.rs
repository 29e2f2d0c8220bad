//! Follows the configuration: readers poll the log, everybody else pulls from neighbours.
//!
//! This crate must not know routing or admission. It drives the reducer and the freshness rules of `fuchsiabay-config`
//! with sockets and clocks.

mod entry_follower;
mod follower;
mod history;
mod links;
mod neighbour;

pub use entry_follower::run_entry;
pub use follower::ConfigFollower;
pub use history::{History, hash as state_hash};
pub use neighbour::{NeighbourSource, run_agent};
