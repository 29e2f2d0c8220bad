//! Log lines and metrics of cold servers.

use fuchsiabay_balancer::{ColdEvents, ColdServerEvent};
use fuchsiabay_base::{ServiceName, Timestamp};

/// The maximum number of servers that are logged one by one. When a group reopens, all of its ranks become cold at once.
const MAX_LINES: usize = 8;

/// Records what has happened to the cold servers of a service.
pub(crate) fn record(service: &ServiceName, events: &ColdEvents, now: Timestamp) {
    if events.is_empty() {
        return;
    }
    metrics::counter!("fuchsiabay_cold_grants_total").increment(events.granted);
    metrics::counter!("fuchsiabay_cold_withheld_total").increment(events.withheld);
    for event in &events.servers {
        metrics::counter!("fuchsiabay_cold_servers_total", "reason" => event.reason.as_str()).increment(1);
    }
    events.servers.iter().take(MAX_LINES).for_each(|event| record_server(service, event, now));
    if events.servers.len() > MAX_LINES {
        log::info!(
            service = service.as_str(), servers = events.servers.len() - MAX_LINES;
            "cold: more servers are cold"
        );
    }
}

/// Records that the groups of a service are open again, which makes all of its servers cold.
pub(crate) fn record_reopened_group(service: &ServiceName, servers: usize) {
    metrics::counter!("fuchsiabay_cold_reopened_groups_total").increment(1);
    log::info!(service = service.as_str(), servers; "cold: group reopened");
}

fn record_server(service: &ServiceName, event: &ColdServerEvent, now: Timestamp) {
    log::info!(
        service = service.as_str(), server = event.server.as_str(), reason = event.reason.as_str(),
        left_ms = event.until.millis_since(now), share = event.share;
        "cold: server is cold"
    );
}
