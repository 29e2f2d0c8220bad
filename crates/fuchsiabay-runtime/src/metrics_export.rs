//! Set-up of the metrics recorder, which `/metrics` renders.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::{monotonic_now, sleep_until};

/// Upper bounds of the histograms' buckets, in milliseconds: from one hop inside a zone up to a long stream.
const BUCKETS_MS: &[f64] = &[
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    30_000.0, 60_000.0, 300_000.0,
];

/// The interval of the upkeep, in milliseconds.
const UPKEEP_MS: u64 = 5_000;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of this process. Later calls change nothing.
///
/// A daemon calls it before it starts, because what is counted without a recorder is lost.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets(BUCKETS_MS)
            .expect("the buckets are a constant and not empty")
            .build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("metrics: another recorder was installed before; /metrics stays empty");
        }
        handle
    });
}

/// Moves the samples of histograms into their buckets for ever.
///
/// The recorder keeps every sample until then, so without this a process that nobody scrapes would grow by some
/// 250 KB/s at 33,000 tokens/s.
pub async fn run_upkeep() {
    loop {
        if let Some(handle) = HANDLE.get() {
            handle.run_upkeep();
        }
        sleep_until(monotonic_now().plus_millis(UPKEEP_MS)).await;
    }
}

/// Renders every metric in the text format of Prometheus, or nothing before [`install`].
pub fn render() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
