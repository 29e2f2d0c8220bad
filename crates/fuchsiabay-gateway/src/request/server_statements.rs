//! What servers state about themselves in their responses: their load, a limit for the requests a second, that they want no
//! requests for some time, and that they are leaving.

use fuchsiabay_balancer::ServerRecord;

use super::routed_request::RoutedRequest;
use crate::http::ResponseHead;

/// The status of a refusal that may state for how long the server wants no requests.
const UNAVAILABLE_STATUS: u16 = 503;

/// Reports to the shard what the server states about itself in a response.
pub(super) fn record_statements(request: &RoutedRequest<'_>, server: &ServerRecord, head: &ResponseHead) {
    let header_names = request.gateway.settings.header_names;
    if let Some(load) = head.headers.get(header_names.load) {
        record_load(request, server, load);
    }
    record_rate_limit(request, server, head.headers.get(header_names.limit), head.is_success());
    if header_names.states_leaving(|name| head.headers.get(name)) {
        record_leaving(request, server);
    }
    if head.status == UNAVAILABLE_STATUS
        && let Some(retry_after) = head.headers.get("retry-after")
    {
        record_pause(request, server, retry_after);
    }
}

fn record_load(request: &RoutedRequest<'_>, server: &ServerRecord, load: &str) {
    let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
    let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) else {
        log::debug!("attempt: cannot parse load {load:?} of {}", server.id);
        return;
    };
    request.shard.set_server_load(&server.id, running.saturating_add(waiting));
}

/// Sets or ends the limit of a server. A refusal without a limit does not end it, because it may come from the queue in front
/// of the server.
fn record_rate_limit(
    request: &RoutedRequest<'_>,
    server: &ServerRecord,
    limit: Option<&str>,
    is_success: bool,
) {
    let had_limit = request.shard.has_rate_limit(&server.id);
    let per_s = limit.and_then(|limit| limit.trim().parse::<f64>().ok());
    let per_s = per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
    if per_s.is_none() && !(had_limit && is_success) {
        return;
    }
    let rank = request.gateway.neighbours().rank_at(&server.id);
    request.shard.set_rate_limit(&server.id, per_s, rank);
    if had_limit != per_s.is_some() {
        log::info!(
            service = request.shard.name().as_str(), server = server.id.as_str(), limit = limit.unwrap_or("none"),
            rank = rank.rank, instances = rank.instances;
            "limit: stated by a server"
        );
    }
}

fn record_leaving(request: &RoutedRequest<'_>, server: &ServerRecord) {
    if request.shard.record_leaving(server) {
        log::info!(
            service = request.shard.name().as_str(), server = server.id.as_str(), request = request.request_id;
            "leaving: stated by a server"
        );
    }
}

fn record_pause(request: &RoutedRequest<'_>, server: &ServerRecord, retry_after: &str) {
    let seconds = retry_after.trim().parse::<f64>().ok();
    let pause_ms = seconds.and_then(|seconds| request.shard.record_pause(server, seconds));
    match pause_ms {
        Some(pause_ms) => log::info!(
            service = request.shard.name().as_str(), server = server.id.as_str(), retry_after, pause_ms;
            "pause: stated by a server"
        ),
        None => log::info!(
            service = request.shard.name().as_str(), server = server.id.as_str(), retry_after;
            "pause: ignoring a statement that is no length of time, or of an earlier incarnation"
        ),
    }
}
