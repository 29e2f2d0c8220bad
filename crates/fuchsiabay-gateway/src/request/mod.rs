//! Serves requests: reads the body, forwards the request and records its outcome.

mod buffered;
mod event_splitter;
mod forwarder;
mod response_head;
mod routed_request;
mod running_attempt;
mod server_statements;
mod stream;

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;

use self::{forwarder::Forwarder, routed_request::RoutedRequest};
use crate::{
    backend::OutgoingRequest,
    body_budget::{BodyLease, BodyLimitError},
    caller::LocalResponse,
    gateway::Gateway,
    http::{BodyError, BodyReader, BufferedSocket, Framing, RequestHead},
    request_metrics,
};

/// How long reading the body may take if the caller states no deadline, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// The retry delay that is stated to callers while the bodies of other requests take all memory for bodies, in milliseconds.
const BODIES_RETRY_MS: u64 = 500;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOutcome {
    /// A server's complete response was written to the caller.
    Relayed { status: u16 },
    /// This instance generated the response.
    Local(LocalResponse),
    /// The caller closed its connection.
    CallerGone,
    /// The response was aborted after its head was written.
    Aborted { reason: &'static str },
}

/// Serves one request. Returns whether the connection stays open.
pub(crate) async fn serve(gateway: &Arc<Gateway>, socket: &mut BufferedSocket, head: &RequestHead) -> bool {
    gateway.begin_request();
    let keep_alive = serve_inner(gateway, socket, head).await;
    gateway.end_request();
    keep_alive
}

async fn serve_inner(gateway: &Arc<Gateway>, socket: &mut BufferedSocket, head: &RequestHead) -> bool {
    let arrived = monotonic_now();
    // The lease counts the body until the request ends.
    let (body, _lease) = match read_body(gateway, socket, head, arrived).await {
        Ok(body) => body,
        Err(None) => return false,
        Err(Some(response)) => {
            write_local_response(gateway, socket, head, response, false).await;
            return false;
        }
    };
    let request = match RoutedRequest::new(gateway, head, &body, arrived) {
        Ok(request) => request,
        Err(response) => {
            log::info!(
                request = request_id(gateway, head), status = response.status, reason = response.reason,
                config = gateway.config().map_or(0, |config| config.version());
                "request: rejected"
            );
            metrics::counter!("fuchsiabay_rejected_requests_total", "reason" => response.reason).increment(1);
            return write_local_response(gateway, socket, head, response, head.keeps_alive).await;
        }
    };
    let outgoing = request.outgoing(body);
    let (outcome, keep_alive) = forward(&request, &outgoing, socket).await;
    record_outcome(&request, outcome);
    keep_alive
}

async fn forward(
    request: &RoutedRequest<'_>,
    outgoing: &OutgoingRequest,
    socket: &mut BufferedSocket,
) -> (RequestOutcome, bool) {
    let mut forwarder = Forwarder::new(request, outgoing);
    let outcome = if request.route.kind.is_stream() {
        stream::run(&mut forwarder, socket).await
    } else {
        buffered::run(&mut forwarder, socket).await
    };
    let keep_alive = match outcome {
        RequestOutcome::Local(response) => {
            write_local_response(request.gateway, socket, request.head, response, request.keeps_alive()).await
        }
        RequestOutcome::Relayed { .. } => request.keeps_alive(),
        RequestOutcome::CallerGone | RequestOutcome::Aborted { .. } => false,
    };
    forwarder.record();
    (outcome, keep_alive)
}

fn record_outcome(request: &RoutedRequest<'_>, outcome: RequestOutcome) {
    let ms = monotonic_now().millis_since(request.arrived);
    let (outcome, status, reason) = match outcome {
        RequestOutcome::Relayed { status } if status < 400 => ("answered", status, ""),
        RequestOutcome::Relayed { status } => ("server_failed", status, ""),
        RequestOutcome::Local(response) => ("own_response", response.status, response.reason),
        RequestOutcome::CallerGone => ("caller_gone", 0, ""),
        RequestOutcome::Aborted { reason } => ("aborted", 0, reason),
    };
    request_metrics::record_request(request.route.kind, outcome, ms);
    log::info!(
        request = request.request_id, route = request.route.name.as_str(), config = request.config.version(),
        outcome, status, reason, ms, left_ms = request.deadline.millis_since(monotonic_now());
        "request: ended"
    );
}

/// Reads the body of a request. The error is the response to send, or None if the connection is lost.
async fn read_body(
    gateway: &Gateway,
    socket: &mut BufferedSocket,
    head: &RequestHead,
    arrived: Timestamp,
) -> Result<(Vec<u8>, BodyLease), Option<LocalResponse>> {
    let limit = gateway.limits().max_body_bytes;
    if matches!(head.framing, Framing::Length(length) if length > limit as u64) {
        return Err(Some(LocalResponse::rejected(413, "body_too_large")));
    }
    let mut lease = gateway.request_budget.lease_up_to(limit);
    if head.framing == Framing::Empty {
        return Ok((Vec::new(), lease));
    }
    if head.headers.contains_token("expect", "100-continue") && socket.buffered().is_empty() {
        let written = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| None)?;
    }
    let deadline = arrived.plus_millis(stated_deadline_ms(gateway, head).unwrap_or(BODY_TIMEOUT_MS));
    let body = read_with_deadline(BodyReader::new(head.framing), socket, &mut lease, deadline).await;
    body.map(|body| (body, lease)).map_err(|error| match error {
        BodyError::Io(_) | BodyError::Truncated => None,
        BodyError::Malformed(_) => Some(LocalResponse::rejected(400, "malformed_body")),
        BodyError::Limit(BodyLimitError::TooLarge) => Some(LocalResponse::rejected(413, "body_too_large")),
        BodyError::Limit(BodyLimitError::Exhausted) => {
            Some(LocalResponse::unavailable("bodies_exhausted", BODIES_RETRY_MS))
        }
        BodyError::TimedOut => Some(LocalResponse::rejected(408, "slow_body")),
    })
}

async fn read_with_deadline(
    mut reader: BodyReader,
    socket: &mut BufferedSocket,
    lease: &mut BodyLease,
    deadline: Timestamp,
) -> Result<Vec<u8>, BodyError> {
    use futures_lite::FutureExt;
    let timeout = async {
        fuchsiabay_runtime::sleep_until(deadline).await;
        Err(BodyError::TimedOut)
    };
    reader.read_to_end(socket, lease).or(timeout).await
}

/// Writes a response that this instance generated. Returns whether the connection stays open.
async fn write_local_response(
    gateway: &Gateway,
    socket: &mut BufferedSocket,
    head: &RequestHead,
    response: LocalResponse,
    keep_alive: bool,
) -> bool {
    let keep_alive = keep_alive && !gateway.is_draining();
    let id = request_id(gateway, head);
    let echo = (!id.is_empty()).then_some((gateway.settings.header_names.request_id, id));
    let bytes = response.encode(echo, keep_alive, head.method == "HEAD");
    match socket.write_all(&bytes).await {
        Ok(()) => keep_alive,
        Err(error) => {
            log::debug!("request: cannot write response: {error}");
            false
        }
    }
}

fn request_id<'a>(gateway: &Gateway, head: &'a RequestHead) -> &'a str {
    head.headers.get(gateway.settings.header_names.request_id).unwrap_or_default()
}

fn stated_deadline_ms(gateway: &Gateway, head: &RequestHead) -> Option<u64> {
    head.headers.get(gateway.settings.header_names.deadline_ms)?.trim().parse().ok()
}
