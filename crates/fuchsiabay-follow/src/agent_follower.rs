//! The follower's task in an agent.

use std::sync::Arc;

use fuchsiabay_runtime::{Peer, monotonic_now, sleep_until};

use crate::ConfigFollower;

/// The interval of pulls, in milliseconds.
const PULL_MS: u64 = 1_000;

/// Neighbours that are asked in one round while none of them proves the configuration.
const TRIES_PER_ROUND: usize = 3;

/// Knows the entry instances that are connected to this process.
pub trait NeighbourSource: Send + Sync + 'static {
    /// Returns the connected entry instances, those of the own availability zone first.
    fn neighbours(&self) -> Vec<Peer>;
}

/// Pulls the configuration from connected entry instances for ever.
pub async fn run_agent_follower<N: NeighbourSource>(follower: Arc<ConfigFollower>, source: Arc<N>) {
    let mut round = 0_usize;
    loop {
        let next_round = monotonic_now().plus_millis(PULL_MS);
        let neighbours = source.neighbours();
        for i in 0..neighbours.len().min(TRIES_PER_ROUND) {
            // Rounds begin at different neighbours, so that one that is cut off does not delay every round.
            let peer = &neighbours[(round + i) % neighbours.len()];
            let version = follower.current().map_or(0, |in_force| in_force.version);
            if follower.pull_from(peer).await && version > 0 {
                break;
            }
        }
        round = round.wrapping_add(1);
        sleep_until(next_round).await;
    }
}
