//! Health probes of the backend server.

use std::sync::Arc;

use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::future;

use crate::{Agent, ConfigView, backend::BackendFailure};

/// The interval of probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// The timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// The number of consecutive failed probes after which the backend server is considered down. A busy server may miss
/// one or two. A refused connection counts immediately, because no process is listening.
const MAX_FAILED_PROBES: u32 = 3;

/// Probes the backend server. Never returns.
pub(crate) async fn watch<C: ConfigView>(agent: Arc<Agent<C>>) {
    let mut failed_probes = 0;
    // `None` until the state is known.
    let mut up = None;
    loop {
        let next_probe = monotonic_now().plus_millis(PROBE_INTERVAL_MS);
        match agent.backend.probe(PROBE_TIMEOUT_MS).await {
            Ok(()) => {
                failed_probes = 0;
                if up != Some(true) {
                    log::info!("agent: the backend server is up");
                    agent.backend_up();
                    agent.orders.invalidate_engine_state();
                    up = Some(true);
                }
            }
            Err(failure) => {
                failed_probes += 1;
                let down = failure == BackendFailure::NotSent || failed_probes >= MAX_FAILED_PROBES;
                if down && up != Some(false) {
                    log::error!("agent: the backend server is down: {failure}");
                    agent.backend_crashed();
                    up = Some(false);
                }
            }
        }
        future::or(agent.probe_request.wait(), sleep_until(next_probe)).await;
    }
}
