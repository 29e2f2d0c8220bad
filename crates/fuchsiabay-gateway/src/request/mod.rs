//! The course of one request.

mod answer;
mod call;
mod course;
mod events;
mod plain;
mod stream;

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;

use self::{call::Call, course::Course};
use crate::{
    backend::OutgoingRequest,
    caller::OwnResponse,
    gateway::Gateway,
    http::{BodyError, BodyReader, BufferedSocket, Framing, RequestHead},
    meters,
};

/// The time within which a body must arrive when the caller states no deadline, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// A server's whole response was written.
    Relayed { status: u16 },
    /// This instance answered itself.
    Own(OwnResponse),
    /// The caller left.
    CallerGone,
    /// The response was broken off midway.
    Aborted { reason: &'static str },
}

/// Serves one request. Returns whether the connection may carry another one.
pub(crate) async fn serve(gateway: &Arc<Gateway>, socket: &mut BufferedSocket, head: &RequestHead) -> bool {
    gateway.begin_request();
    let keep_alive = serve_counted(gateway, socket, head).await;
    gateway.end_request();
    keep_alive
}

async fn serve_counted(gateway: &Arc<Gateway>, socket: &mut BufferedSocket, head: &RequestHead) -> bool {
    let arrived = monotonic_now();
    let body = match read_body(gateway, socket, head, arrived).await {
        Ok(body) => body,
        Err(None) => return false,
        Err(Some(response)) => {
            write_own(gateway, socket, head, response, false).await;
            return false;
        }
    };
    let call = match Call::new(gateway, head, &body, arrived) {
        Ok(call) => call,
        Err(response) => {
            log::info!(
                request = request_id(gateway, head), status = response.status, reason = response.reason,
                config = gateway.serving().map_or(0, |serving| serving.version());
                "request: rejected"
            );
            metrics::counter!("fuchsiabay_rejected_requests_total", "reason" => response.reason).increment(1);
            return write_own(gateway, socket, head, response, head.keeps_alive).await;
        }
    };
    let req = call.outgoing(body);
    let (end, keep_alive) = run(&call, &req, socket).await;
    record_end(&call, end);
    keep_alive
}

async fn run(call: &Call<'_>, req: &OutgoingRequest, socket: &mut BufferedSocket) -> (End, bool) {
    let mut course = Course::new(call, req);
    let end = if call.route.kind.is_stream() {
        stream::run(&mut course, socket).await
    } else {
        plain::run(&mut course, socket).await
    };
    let keep_alive = match end {
        End::Own(response) => write_own(call.gateway, socket, call.head, response, call.keeps_alive()).await,
        End::Relayed { .. } => call.keeps_alive(),
        End::CallerGone | End::Aborted { .. } => false,
    };
    course.record();
    (end, keep_alive)
}

fn record_end(call: &Call<'_>, end: End) {
    let ms = monotonic_now().millis_since(call.arrived);
    let (outcome, status, reason) = match end {
        End::Relayed { status } if status < 400 => ("answered", status, ""),
        End::Relayed { status } => ("server_failed", status, ""),
        End::Own(response) => ("own_response", response.status, response.reason),
        End::CallerGone => ("caller_gone", 0, ""),
        End::Aborted { reason } => ("aborted", 0, reason),
    };
    meters::request_ended(call.route.kind, outcome, ms);
    log::info!(
        request = call.request_id, route = call.route.name.as_str(), config = call.serving.version(),
        outcome, status, reason, ms, left_ms = call.end_at.millis_since(monotonic_now());
        "request: ended"
    );
}

/// Reads the body of a request. The error is the response, or None when the caller left.
async fn read_body(
    gateway: &Gateway,
    socket: &mut BufferedSocket,
    head: &RequestHead,
    arrived: Timestamp,
) -> Result<Vec<u8>, Option<OwnResponse>> {
    let limit = gateway.limits().max_body_bytes;
    if matches!(head.framing, Framing::Length(length) if length > limit as u64) {
        return Err(Some(OwnResponse::rejected(413, "body_too_large")));
    }
    if head.framing == Framing::Empty {
        return Ok(Vec::new());
    }
    if head.headers.contains_token("expect", "100-continue") && socket.buffered().is_empty() {
        let go_on = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|_| None)?;
    }
    let deadline = arrived.plus_millis(stated_deadline_ms(gateway, head).unwrap_or(BODY_TIMEOUT_MS));
    let read = BodyReader::new(head.framing);
    let body = read_until(read, socket, limit, deadline).await;
    body.map_err(|error| match error {
        BodyError::Io(_) | BodyError::Truncated => None,
        BodyError::Malformed(_) => Some(OwnResponse::rejected(400, "malformed_body")),
        BodyError::TooLarge => Some(OwnResponse::rejected(413, "body_too_large")),
        BodyError::Late => Some(OwnResponse::rejected(408, "slow_body")),
    })
}

async fn read_until(
    mut reader: BodyReader,
    socket: &mut BufferedSocket,
    limit: usize,
    deadline: Timestamp,
) -> Result<Vec<u8>, BodyError> {
    use futures_lite::FutureExt;
    let late = async {
        fuchsiabay_runtime::sleep_until(deadline).await;
        Err(BodyError::Late)
    };
    reader.read_to_end(socket, limit).or(late).await
}

/// Writes a response of this instance. Returns whether the connection may carry another request.
async fn write_own(
    gateway: &Gateway,
    socket: &mut BufferedSocket,
    head: &RequestHead,
    response: OwnResponse,
    keep_alive: bool,
) -> bool {
    let keep_alive = keep_alive && !gateway.is_draining();
    let id = request_id(gateway, head);
    let echo = (!id.is_empty()).then_some((gateway.settings.dialect.request_id, id));
    let bytes = response.encode(echo, keep_alive, head.method == "HEAD");
    match socket.write_all(&bytes).await {
        Ok(()) => keep_alive,
        Err(error) => {
            log::debug!("request: own response not written: {error}");
            false
        }
    }
}

fn request_id<'a>(gateway: &Gateway, head: &'a RequestHead) -> &'a str {
    head.headers.get(gateway.settings.dialect.request_id).unwrap_or_default()
}

fn stated_deadline_ms(gateway: &Gateway, head: &RequestHead) -> Option<u64> {
    head.headers.get(gateway.settings.dialect.deadline_ms)?.trim().parse().ok()
}
