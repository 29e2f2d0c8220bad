//! Graceful shutdown: drains the entry instance.

use std::sync::Arc;

use fuchsiabay_runtime::{ShutdownRequest, ShutdownSignals, monotonic_now, sleep_until};
use futures_lite::FutureExt;

use crate::{config_source::ConfigSource, entry::Entry};

/// The interval at which a drain checks for open requests, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;
/// The timeout of a drain when there is no configuration, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 60_000;

/// Refuses new requests and waits until the open ones have ended or the drain deadline has passed.
pub(crate) async fn drain<C: ConfigSource>(entry: &Arc<Entry<C>>) {
    let drain_ms = entry.config.in_force().map_or(DEFAULT_DRAIN_MS, |config| config.preset.drain_ms.0);
    let deadline = monotonic_now().plus_millis(drain_ms);
    entry.set_draining();
    while entry.open_requests() > 0 {
        if monotonic_now() >= deadline {
            log::warn!("entry: drain deadline passed with {} open requests", entry.open_requests());
            return;
        }
        sleep_until(monotonic_now().plus_millis(DRAIN_POLL_INTERVAL_MS)).await;
    }
    log::info!("entry: drain complete");
}

/// Drains at the first signal. Returns when no request is open, the drain deadline has passed or a second signal
/// arrives.
///
/// The result is whether the connections may be closed gracefully.
pub(crate) async fn shut_down_on_signal<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    signals: &mut ShutdownSignals,
) -> bool {
    if signals.next().await != Some(ShutdownRequest::Drain) {
        return false;
    }
    let drained = async {
        drain(entry).await;
        entry.open_requests() == 0
    };
    let second = async {
        let _ = signals.next().await;
        false
    };
    drained.or(second).await
}
