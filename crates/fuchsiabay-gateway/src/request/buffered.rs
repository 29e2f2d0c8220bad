//! Requests without a stream: the response is buffered until it is complete and then relayed.

use fuchsiabay_runtime::monotonic_now;

use super::{
    RequestOutcome,
    forwarder::Forwarder,
    response_head::{BodyFraming, encode_head},
};
use crate::{
    backend::{Attempt, Failure, FailureKind},
    caller::until_interrupted,
    http::BufferedSocket,
    shard::SlotGuard,
};

/// How long writing a complete response to the caller may take, in milliseconds. This may extend past the request's
/// deadline.
const WRITE_GRACE_MS: u64 = 2_000;

/// Forwards a request and relays its response to the caller.
pub(super) async fn run(forwarder: &mut Forwarder<'_>, socket: &mut BufferedSocket) -> RequestOutcome {
    loop {
        let (slot, attempt) = match forwarder.send_with_retries(socket).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        match finish(forwarder, socket, slot, attempt).await {
            Ok(outcome) => return outcome,
            Err(Some(outcome)) => return outcome,
            Err(None) => {}
        }
    }
}

/// Reads the body and relays the response. The error is None if the request may be retried.
pub(super) async fn finish(
    forwarder: &mut Forwarder<'_>,
    socket: &mut BufferedSocket,
    mut slot: SlotGuard,
    mut attempt: Attempt,
) -> Result<RequestOutcome, Option<RequestOutcome>> {
    let server = slot.grant.server.clone();
    // The server does not state that it did not run the request, and the caller would send it again.
    if attempt.response.head.reads_as_not_run() && !forwarder.request.kind().is_idempotent() {
        let failure = Failure::may_have_run(FailureKind::ServerError);
        slot.set_outcome(failure.outcome());
        drop((slot, attempt));
        forwarder.handle_failure(&server, failure).map_err(Some)?;
        return Err(None);
    }
    let mut lease = forwarder.request.gateway.response_budget.lease();
    let read = attempt.read_to_end(&mut lease);
    let body = forwarder
        .request
        .until_interrupted(socket, read)
        .await
        .map_err(|interrupt| Some(forwarder.interrupted_outcome(interrupt)))?;
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            let failure = Failure::may_have_run(error.failure_kind());
            slot.set_outcome(failure.outcome());
            // The connection is closed first, so that the server stops sending.
            drop((slot, attempt));
            forwarder.handle_failure(&server, failure).map_err(Some)?;
            return Err(None);
        }
    };
    let status = attempt.response.head.status;
    forwarder.record_response(&mut slot, &attempt.response.head);
    drop(slot);
    let head = attempt.response.head.clone();
    if attempt.is_reusable() {
        attempt.connection.mark_idle(&head);
        forwarder.request.gateway.connections.put(&server.id, server.address, attempt.connection);
    }
    if status >= 500 && forwarder.may_replace_server_error() {
        log::info!(request = forwarder.request.request_id, server = server.id.as_str(), status; "attempt: server error replaced");
        return Err(None);
    }
    Ok(relay(forwarder, socket, &head, &body).await)
}

async fn relay(
    forwarder: &Forwarder<'_>,
    socket: &mut BufferedSocket,
    head: &crate::http::ResponseHead,
    body: &[u8],
) -> RequestOutcome {
    let has_no_body = head.status == 204 || head.status == 304;
    let framing = if has_no_body { BodyFraming::None } else { BodyFraming::Length(body.len()) };
    let mut bytes = encode_head(head, &framing, forwarder.request.keeps_alive());
    bytes.extend_from_slice(body);
    let deadline = monotonic_now().plus_millis(WRITE_GRACE_MS);
    let mut writer = socket.writer();
    let write = async move { smol::io::AsyncWriteExt::write_all(&mut writer, &bytes).await };
    match until_interrupted(socket, deadline, write).await {
        Ok(Ok(())) => RequestOutcome::Relayed { status: head.status },
        Ok(Err(_)) => RequestOutcome::CallerGone,
        Err(interrupt) => forwarder.interrupted_write_outcome(interrupt),
    }
}
