//! Relays event streams. If a server fails, another one resumes the stream.

use fuchsiabay_base::{Timestamp, Verdict};
use fuchsiabay_runtime::monotonic_now;
use smol::io::AsyncWriteExt;

use super::{
    RequestOutcome, buffered,
    event_splitter::EventSplitter,
    forwarder::Forwarder,
    response_head::{BodyFraming, encode_head},
    routed_request::RoutedRequest,
};
use crate::{
    backend::{Attempt, Failure, FailureKind},
    body_budget::BodyLease,
    http::{BufferedSocket, ResponseHead, SocketWriter},
    request_metrics,
    shard::{ServiceShard, SlotGuard},
};

/// How relaying one server's segment of a stream ended.
enum SegmentEnd {
    /// The stream is complete.
    Complete,
    /// Writing to the caller failed.
    CallerGone,
    /// The segment ended early or is invalid.
    Failed(FailureKind),
}

/// Forwards a request and relays its event stream to the caller.
pub(super) async fn run(forwarder: &mut Forwarder<'_>, socket: &mut BufferedSocket) -> RequestOutcome {
    let last_id = forwarder.last_event_id.as_deref().and_then(|id| id.trim().parse().ok());
    let mut relay = Relay::new(
        socket.writer(),
        EventSplitter::resuming_after(last_id),
        forwarder.request.gateway.event_budget.lease(),
    );
    loop {
        let (mut slot, mut attempt) = match forwarder.send_with_retries(socket).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        if !attempt.response.head.is_success() {
            match handle_error_response(forwarder, socket, slot, attempt).await {
                Some(outcome) => return outcome,
                None => continue,
            }
        }
        let request = forwarder.request;
        let segment = async {
            if !relay.is_continued_by(&attempt.response.head) {
                return SegmentEnd::Failed(FailureKind::InvalidResponse);
            }
            relay.relay_segment(request, &mut attempt).await
        };
        let segment = request.until_interrupted(socket, segment).await;
        forwarder.is_resumption = relay.head_written;
        forwarder.record_progress(relay.take_progress_ms(), relay.last_event_at);
        let segment = match segment {
            Ok(segment) => segment,
            Err(interrupt) => return forwarder.interrupted_outcome(interrupt),
        };
        match segment {
            SegmentEnd::CallerGone => return RequestOutcome::CallerGone,
            SegmentEnd::Complete => {
                forwarder.record_response(&mut slot, &attempt.response.head);
                release_connection(request, &slot, attempt);
                log::info!(
                    request = request.request_id, events = relay.splitter.forwarded(), longest_gap_ms = relay.longest_gap_ms,
                    gap_goal_ms = request.route.gap_goal_ms;
                    "stream: complete"
                );
                metrics::histogram!("fuchsiabay_longest_gap_ms").record(relay.longest_gap_ms as f64);
                return RequestOutcome::Relayed { status: 200 };
            }
            SegmentEnd::Failed(kind) => {
                if let Err(outcome) = prepare_resumption(forwarder, slot, &mut relay, kind) {
                    return outcome;
                }
            }
        }
    }
}

/// Handles a response with an error status. Returns None if the request may be retried.
async fn handle_error_response(
    forwarder: &mut Forwarder<'_>,
    socket: &mut BufferedSocket,
    slot: SlotGuard,
    attempt: Attempt,
) -> Option<RequestOutcome> {
    if !forwarder.is_resumption {
        return match buffered::finish(forwarder, socket, slot, attempt).await {
            Ok(outcome) | Err(Some(outcome)) => Some(outcome),
            Err(None) => None,
        };
    }
    let server = slot.grant.server.clone();
    drop(slot);
    forwarder.handle_failure(&server, Failure::may_have_run(FailureKind::ServerError)).err()
}

/// Prepares to resume the stream at another server after the last complete event.
fn prepare_resumption(
    forwarder: &mut Forwarder<'_>,
    mut slot: SlotGuard,
    relay: &mut Relay,
    kind: FailureKind,
) -> Result<(), RequestOutcome> {
    let failure = Failure { kind, verdict: Verdict::Ran };
    slot.set_outcome(failure.outcome());
    let server = slot.grant.server.clone();
    drop(slot);
    forwarder.request.shard.request_group_check();
    relay.splitter.discard_partial();
    if let Some(id) = relay.splitter.last_id() {
        forwarder.last_event_id = Some(id.to_string());
    }
    forwarder.handle_failure(&server, failure)
}

fn release_connection(request: &RoutedRequest<'_>, slot: &SlotGuard, mut attempt: Attempt) {
    if attempt.is_reusable() {
        let server = &slot.grant.server;
        attempt.connection.mark_idle(&attempt.response.head.clone());
        request.gateway.connections.put(&server.id, server.address, attempt.connection);
    }
}

fn content_type(head: &ResponseHead) -> Option<&str> {
    head.headers.get("content-type")
}

/// Relays a stream to its caller.
struct Relay {
    writer: SocketWriter,
    splitter: EventSplitter,
    /// The memory of the incomplete event.
    lease: BodyLease,
    /// Whether the response head was written. It is the head of the first server that sent events.
    head_written: bool,
    /// The content type in the head that was written.
    content_type: Option<String>,
    out: Vec<u8>,
    /// When events were last written to the caller.
    last_event_at: Option<Timestamp>,
    /// When the first events of the current segment were received.
    segment_started_at: Option<Timestamp>,
    longest_gap_ms: u64,
}

impl Relay {
    fn new(writer: SocketWriter, splitter: EventSplitter, lease: BodyLease) -> Self {
        Self {
            writer,
            splitter,
            lease,
            head_written: false,
            content_type: None,
            out: Vec::new(),
            last_event_at: None,
            segment_started_at: None,
            longest_gap_ms: 0,
        }
    }

    /// Returns whether a response with `head` can continue the response that the caller receives. Otherwise its end would make an
    /// interrupted stream look complete.
    fn is_continued_by(&self, head: &ResponseHead) -> bool {
        !self.head_written || head.status == 200 && content_type(head) == self.content_type.as_deref()
    }

    fn record_gap(&mut self, shard: &ServiceShard) {
        let now = monotonic_now();
        // The time until a stream continues at another server says nothing about the steps of the group.
        let is_within_segment = self.segment_started_at.is_some();
        self.segment_started_at.get_or_insert(now);
        let gap_ms = self.last_event_at.replace(now).map_or(0, |last| now.millis_since(last));
        if is_within_segment {
            shard.record_gap(gap_ms);
        }
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
    }

    /// Returns the time from the first to the last event of the segment that ended, in milliseconds.
    fn take_progress_ms(&mut self) -> u64 {
        match (self.segment_started_at.take(), self.last_event_at) {
            (Some(first), Some(last)) => last.millis_since(first),
            _ => 0,
        }
    }

    /// Relays the events of one server until its segment ends.
    async fn relay_segment(&mut self, request: &RoutedRequest<'_>, attempt: &mut Attempt) -> SegmentEnd {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if let Err(error) = attempt.read_some(&mut bytes).await {
                return SegmentEnd::Failed(error.failure_kind());
            }
            let mut events = Vec::new();
            let is_valid = self.splitter.push(&bytes, &mut events).is_ok()
                && self.lease.resize(self.splitter.partial_len()).is_ok();
            if !is_valid {
                // The events before the invalid one are still valid.
                return match self.write(request, attempt, &events, false).await {
                    Ok(()) => SegmentEnd::Failed(FailureKind::InvalidResponse),
                    Err(_) => SegmentEnd::CallerGone,
                };
            }
            let is_last = attempt.is_done();
            if is_last && !self.splitter.is_at_boundary() {
                return match self.write(request, attempt, &events, false).await {
                    Ok(()) => SegmentEnd::Failed(FailureKind::ConnectionLost),
                    Err(_) => SegmentEnd::CallerGone,
                };
            }
            if self.write(request, attempt, &events, is_last).await.is_err() {
                return SegmentEnd::CallerGone;
            }
            if is_last {
                return SegmentEnd::Complete;
            }
        }
    }

    /// Writes the head if it was not written yet, the events as one chunk, and the last chunk if `is_last`, all in
    /// one system call.
    async fn write(
        &mut self,
        request: &RoutedRequest<'_>,
        attempt: &Attempt,
        events: &[u8],
        is_last: bool,
    ) -> std::io::Result<()> {
        self.out.clear();
        if !self.head_written && (!events.is_empty() || is_last) {
            self.head_written = true;
            self.content_type = content_type(&attempt.response.head).map(str::to_owned);
            let head = encode_head(&attempt.response.head, &BodyFraming::Chunked, request.keeps_alive());
            self.out.extend_from_slice(&head);
            request_metrics::record_first_event(monotonic_now().millis_since(request.arrived));
        }
        if !events.is_empty() {
            self.record_gap(&request.shard);
            self.out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
            self.out.extend_from_slice(events);
            self.out.extend_from_slice(b"\r\n");
        }
        if is_last {
            self.out.extend_from_slice(b"0\r\n\r\n");
        }
        if self.out.is_empty() {
            return Ok(());
        }
        self.writer.write_all(&self.out).await
    }
}
