//! Logs and counts how slots are shared among workspaces.

use fuchsiabay_balancer::{Pool, ShareEvent};
use fuchsiabay_base::ServiceName;

/// Logs and counts what happened in the pool of `service` since the last call.
pub(crate) fn record(service: &ServiceName, pool: &mut Pool) {
    let counts = pool.take_fair_share_counts();
    count("overtaking", counts.overtaking);
    count("refused_on_arrival", counts.refused_on_arrival);
    count("refused_overtaken", counts.refused_overtaken);
    for event in pool.take_share_events() {
        match event {
            ShareEvent::Above { workspace, usage, share, waiting_workspaces } => log::info!(
                service = service.as_str(), workspace = workspace.as_str(), usage = usage.round(),
                share = share.round(), waiting_workspaces;
                "shares: workspace is above its share"
            ),
            ShareEvent::NoLongerAbove { workspace } => log::info!(
                service = service.as_str(), workspace = workspace.as_str();
                "shares: workspace is no longer above its share"
            ),
        }
    }
}

fn count(outcome: &'static str, jobs: u64) {
    if jobs > 0 {
        metrics::counter!("fuchsiabay_fair_share_jobs_total", "outcome" => outcome).increment(jobs);
    }
}
