//! Parts that the `Dispatch` implementations of several worlds share.

use fastrand::Rng;
use fuchsiabay_base::{AttemptId, Timestamp};
use fuchsiabay_routing::NoServer;

/// Picks one of `targets` at random, so that attempts reach the servers in every order. For worlds whose checks do not
/// depend on the choice.
pub(crate) fn pick_random<T>(mut targets: Vec<T>, rng: &mut Rng, now: Timestamp) -> Result<T, NoServer> {
    if targets.is_empty() {
        return Err(NoServer { retry_at: Some(now) });
    }
    Ok(targets.swap_remove(rng.usize(0..targets.len())))
}

/// Increments `last` and returns it as the id of a new attempt.
pub(crate) fn next_attempt(last: &mut u64) -> AttemptId {
    *last += 1;
    AttemptId(*last)
}
