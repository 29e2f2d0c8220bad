//! What servers state about themselves in their responses: their load, and a limit for the requests a second.

use fuchsiabay_base::InstanceId;

use super::routed_request::RoutedRequest;
use crate::http::ResponseHead;

/// Reports to the shard what the server states about itself in a response.
pub(super) fn record_statements(request: &RoutedRequest<'_>, server: &InstanceId, head: &ResponseHead) {
    let header_names = request.gateway.settings.header_names;
    if let Some(load) = head.headers.get(header_names.load) {
        record_load(request, server, load);
    }
    record_rate_limit(request, server, head.headers.get(header_names.limit), head.is_success());
}

fn record_load(request: &RoutedRequest<'_>, server: &InstanceId, load: &str) {
    let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
    let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) else {
        log::debug!("attempt: cannot parse load {load:?} of {server}");
        return;
    };
    request.shard.set_server_load(server, running.saturating_add(waiting));
}

/// Sets or ends the limit of a server. A refusal without a limit does not end it, because it may come from the queue in front
/// of the server.
fn record_rate_limit(
    request: &RoutedRequest<'_>,
    server: &InstanceId,
    limit: Option<&str>,
    is_success: bool,
) {
    let had_limit = request.shard.has_rate_limit(server);
    let per_s = limit.and_then(|limit| limit.trim().parse::<f64>().ok());
    let per_s = per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
    if per_s.is_none() && !(had_limit && is_success) {
        return;
    }
    let rank = request.gateway.neighbours().rank_at(server);
    request.shard.set_rate_limit(server, per_s, rank);
    if had_limit != per_s.is_some() {
        log::info!(
            service = request.shard.name().as_str(), server = server.as_str(), limit = limit.unwrap_or("none"),
            rank = rank.rank, instances = rank.instances;
            "limit: stated by a server"
        );
    }
}
