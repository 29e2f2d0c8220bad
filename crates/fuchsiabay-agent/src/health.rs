//! Watches the backend server.

use std::sync::Arc;

use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::future;

use crate::{Agent, ConfigView, backend::BackendFailure};

/// The interval of probes, in milliseconds.
const PROBE_MS: u64 = 500;

/// The time that a probe may take, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Unanswered probes after which the backend server is taken to be down. A busy server may miss one or two; a refused
/// connection counts at once, because nobody listens then.
const UNANSWERED_PROBES: u32 = 3;

/// Probes the backend server for ever.
pub(crate) async fn watch<C: ConfigView>(agent: Arc<Agent<C>>) {
    let mut unanswered = 0;
    // None before the first probe.
    let mut up = None;
    loop {
        let next_probe = monotonic_now().plus_millis(PROBE_MS);
        match agent.backend.is_healthy(PROBE_TIMEOUT_MS).await {
            Ok(()) => {
                unanswered = 0;
                if up != Some(true) {
                    log::info!("agent: the backend server is up");
                    agent.backend_up();
                    agent.orders.invalidate_engine_state();
                    up = Some(true);
                }
            }
            Err(failure) => {
                unanswered += 1;
                let down = failure == BackendFailure::NotSent || unanswered >= UNANSWERED_PROBES;
                if down && up != Some(false) {
                    log::error!("agent: the backend server is down: {failure}");
                    agent.backend_crashed();
                    up = Some(false);
                }
            }
        }
        future::or(agent.probe.wait(), sleep_until(next_probe)).await;
    }
}
