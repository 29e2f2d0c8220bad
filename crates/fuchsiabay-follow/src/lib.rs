//! Keeps the configuration of a process current: a few entry instances per availability zone, the readers, poll the
//! log, and all other instances pull from neighbours.
//!
//! This crate provides the I/O and the clock for the reducer and the freshness rules of `fuchsiabay-config`. It must
//! not depend on routing or admission.

mod agent_follower;
mod entry_follower;
mod follower;
mod history;
mod peer_connections;

pub use agent_follower::{NeighbourSource, run_agent_follower};
pub use entry_follower::run_entry_follower;
pub use follower::ConfigFollower;
pub use history::{ConfigHistory, state_hash};
