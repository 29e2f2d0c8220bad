//! Requests with one whole response.

use fuchsiabay_runtime::monotonic_now;

use super::{
    End,
    answer::{BodyFraming, encode_head},
    course::Course,
};
use crate::{
    backend::{Attempt, Failure, FailureKind},
    caller::until_interrupted,
    http::BufferedSocket,
    shard::Lease,
};

/// The largest response that is held until it is whole, in bytes. Holding it lets a broken one be replaced.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The time for which a response that is ready may take to be written after the deadline, in milliseconds.
const WRITE_GRACE_MS: u64 = 2_000;

/// Runs a plain request to its end.
pub(super) async fn run(course: &mut Course<'_>, socket: &mut BufferedSocket) -> End {
    loop {
        let (lease, attempt) = match course.start(socket).await {
            Ok(started) => started,
            Err(end) => return end,
        };
        match finish(course, socket, lease, attempt).await {
            Ok(end) => return end,
            Err(Some(end)) => return end,
            Err(None) => {}
        }
    }
}

/// Reads the body and relays the response. The error is None when the request may be sent again.
pub(super) async fn finish(
    course: &mut Course<'_>,
    socket: &mut BufferedSocket,
    mut lease: Lease,
    mut attempt: Attempt,
) -> Result<End, Option<End>> {
    let end_at = course.call.end_at;
    let server = lease.grant.server.clone();
    let read = attempt.body.read_to_end(&mut attempt.connection.socket, MAX_RESPONSE_BYTES);
    let body = until_interrupted(socket, end_at, read)
        .await
        .map_err(|interrupt| Some(course.interrupted(interrupt)))?;
    let Ok(body) = body else {
        let failure = Failure::may_have_run(FailureKind::Broken);
        lease.set_outcome(failure.outcome());
        drop(lease);
        course.after_failure(&server.id, failure).map_err(Some)?;
        return Err(None);
    };
    let status = attempt.response.head.status;
    course.note_answer(&mut lease, status);
    drop(lease);
    let head = attempt.response.head.clone();
    if attempt.is_reusable() {
        attempt.connection.rest(&head);
        course.call.gateway.connections.put(&server.id, server.address, attempt.connection);
    }
    if status >= 500 && course.may_replace_server_error() {
        log::info!(request = course.call.request_id, server = server.id.as_str(), status; "attempt: server error replaced");
        return Err(None);
    }
    Ok(relay(course, socket, &head, &body).await)
}

async fn relay(
    course: &Course<'_>,
    socket: &mut BufferedSocket,
    head: &crate::http::ResponseHead,
    body: &[u8],
) -> End {
    let has_no_body = head.status == 204 || head.status == 304;
    let framing = if has_no_body { BodyFraming::None } else { BodyFraming::Length(body.len()) };
    let mut bytes = encode_head(head, &framing, course.call.keeps_alive());
    bytes.extend_from_slice(body);
    let deadline = monotonic_now().plus_millis(WRITE_GRACE_MS);
    let mut writer = socket.writer();
    let write = async move { smol::io::AsyncWriteExt::write_all(&mut writer, &bytes).await };
    match until_interrupted(socket, deadline, write).await {
        Ok(Ok(())) => End::Relayed { status: head.status },
        Ok(Err(_)) => End::CallerGone,
        Err(interrupt) => course.interrupted_write(interrupt),
    }
}
