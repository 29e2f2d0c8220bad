//! The choice of a server in worlds whose checks do not depend on it.

use fastrand::Rng;
use fuchsiabay_base::{AttemptId, Timestamp};
use fuchsiabay_routing::NoServer;

/// Draws one of `targets`, so that attempts reach every server in every order.
pub(crate) fn pick_random<T>(mut targets: Vec<T>, rng: &mut Rng, now: Timestamp) -> Result<T, NoServer> {
    if targets.is_empty() {
        return Err(NoServer { retry_at: Some(now) });
    }
    Ok(targets.swap_remove(rng.usize(0..targets.len())))
}

/// Returns the id after `last` and remembers it.
pub(crate) fn next_attempt(last: &mut u64) -> AttemptId {
    *last += 1;
    AttemptId(*last)
}
