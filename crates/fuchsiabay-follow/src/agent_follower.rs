//! The task that keeps the configuration of an agent current.

use std::sync::Arc;

use fuchsiabay_runtime::{Peer, monotonic_now, sleep_until};

use crate::ConfigFollower;

/// The interval between pull rounds, in milliseconds.
const PULL_INTERVAL_MS: u64 = 1_000;

/// The maximum number of neighbours to pull from in one round, until one of them confirms the configuration.
const MAX_PULLS_PER_ROUND: usize = 3;

/// Provides the entry instances that are connected to this process.
pub trait NeighbourSource: Send + Sync + 'static {
    /// Returns the connected entry instances, with those in the same availability zone first.
    fn neighbours(&self) -> Vec<Peer>;
}

/// Pulls the configuration from connected entry instances periodically and never returns.
pub async fn run_agent_follower<N: NeighbourSource>(follower: Arc<ConfigFollower>, source: Arc<N>) {
    let mut round = 0_usize;
    loop {
        let next_round = monotonic_now().plus_millis(PULL_INTERVAL_MS);
        let neighbours = source.neighbours();
        for i in 0..neighbours.len().min(MAX_PULLS_PER_ROUND) {
            // Each round starts with another neighbour, so that one that is partitioned from the others does not delay
            // every round.
            let peer = &neighbours[(round + i) % neighbours.len()];
            // A new process asks several neighbours and takes the highest version, because one of them may lag behind.
            let is_new = follower.in_force().is_none();
            if follower.pull_from(peer).await && !is_new {
                break;
            }
        }
        round = round.wrapping_add(1);
        sleep_until(next_round).await;
    }
}
