//! Streams of events, which another server may continue.

use fuchsiabay_base::{Timestamp, Verdict};
use fuchsiabay_runtime::monotonic_now;
use smol::{io::AsyncWriteExt, net::TcpStream};

use super::{
    End,
    answer::{BodyFraming, encode_head},
    call::Call,
    course::Course,
    events::Events,
    plain,
};
use crate::{
    backend::{Attempt, Failure, FailureKind},
    caller::until_interrupted,
    http::BufferedSocket,
    meters,
    shard::Lease,
};

/// Why the relay of one server's part of a stream ended.
enum PartEnd {
    /// The stream is whole.
    Whole,
    /// The caller does not take bytes any more.
    CallerGone,
    /// The server's part broke off.
    Broken(FailureKind),
}

/// Runs a stream to its end.
pub(super) async fn run(course: &mut Course<'_>, socket: &mut BufferedSocket) -> End {
    let first_id = course.last_event_id.as_deref().and_then(|id| id.trim().parse().ok());
    let mut relay = Relay::new(socket.writer(), Events::after(first_id));
    loop {
        let (mut lease, mut attempt) = match course.start(socket).await {
            Ok(started) => started,
            Err(end) => return end,
        };
        if !attempt.response.head.is_success() {
            match refused_by_server(course, socket, lease, attempt).await {
                Some(end) => return end,
                None => continue,
            }
        }
        let call = course.call;
        let part = until_interrupted(socket, call.end_at, relay.part(call, &mut attempt)).await;
        course.is_resumption = relay.has_head;
        let part = match part {
            Ok(part) => part,
            Err(interrupt) => return course.interrupted(interrupt),
        };
        match part {
            PartEnd::CallerGone => return End::CallerGone,
            PartEnd::Whole => {
                course.note_answer(&mut lease, attempt.response.head.status);
                keep_connection(call, &lease, attempt);
                log::info!(
                    request = call.request_id, events = relay.events.passed(), longest_gap_ms = relay.longest_gap_ms,
                    gap_goal_ms = call.route.gap_goal_ms;
                    "stream: whole"
                );
                metrics::histogram!("fuchsiabay_longest_gap_ms").record(relay.longest_gap_ms as f64);
                return End::Relayed { status: 200 };
            }
            PartEnd::Broken(kind) => {
                if let Err(end) = part_broken(course, lease, &mut relay, kind) {
                    return end;
                }
            }
        }
    }
}

/// Handles a response that is no stream. Returns None when the request may be sent again.
async fn refused_by_server(
    course: &mut Course<'_>,
    socket: &mut BufferedSocket,
    lease: Lease,
    attempt: Attempt,
) -> Option<End> {
    if !course.is_resumption {
        return match plain::finish(course, socket, lease, attempt).await {
            Ok(end) | Err(Some(end)) => Some(end),
            Err(None) => None,
        };
    }
    let server = lease.grant.server.id.clone();
    drop(lease);
    course.after_failure(&server, Failure::may_have_run(FailureKind::ServerError)).err()
}

/// Prepares the continuation at another server.
fn part_broken(
    course: &mut Course<'_>,
    mut lease: Lease,
    relay: &mut Relay,
    kind: FailureKind,
) -> Result<(), End> {
    let failure = Failure { kind, verdict: Verdict::Ran };
    lease.set_outcome(failure.outcome());
    let server = lease.grant.server.id.clone();
    drop(lease);
    course.call.shard.suspect();
    relay.events.restart();
    if let Some(id) = relay.events.last_id() {
        course.last_event_id = Some(id.to_string());
    }
    course.after_failure(&server, failure)
}

fn keep_connection(call: &Call<'_>, lease: &Lease, mut attempt: Attempt) {
    if attempt.is_reusable() {
        let server = &lease.grant.server;
        attempt.connection.rest(&attempt.response.head.clone());
        call.gateway.connections.put(&server.id, server.address, attempt.connection);
    }
}

/// Passes a stream on to its caller.
struct Relay {
    writer: TcpStream,
    events: Events,
    /// Whether the head was written. It is that of the first server.
    has_head: bool,
    out: Vec<u8>,
    /// When events were passed on last.
    last_at: Option<Timestamp>,
    longest_gap_ms: u64,
}

impl Relay {
    fn new(writer: TcpStream, events: Events) -> Self {
        Self { writer, events, has_head: false, out: Vec::new(), last_at: None, longest_gap_ms: 0 }
    }

    fn note_events(&mut self) {
        let now = monotonic_now();
        let gap_ms = self.last_at.replace(now).map_or(0, |last| now.millis_since(last));
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
    }

    /// Relays the events of one server until its part ends.
    async fn part(&mut self, call: &Call<'_>, attempt: &mut Attempt) -> PartEnd {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if attempt.body.read_some(&mut attempt.connection.socket, &mut bytes).await.is_err() {
                return PartEnd::Broken(FailureKind::Broken);
            }
            let mut events = Vec::new();
            if self.events.push(&bytes, &mut events).is_err() {
                // The events before the bad one are good.
                return match self.write(call, attempt, &events, false).await {
                    Ok(()) => PartEnd::Broken(FailureKind::Garbled),
                    Err(_) => PartEnd::CallerGone,
                };
            }
            let is_last = attempt.body.is_done();
            if is_last && !self.events.is_at_boundary() {
                return match self.write(call, attempt, &events, false).await {
                    Ok(()) => PartEnd::Broken(FailureKind::Broken),
                    Err(_) => PartEnd::CallerGone,
                };
            }
            if self.write(call, attempt, &events, is_last).await.is_err() {
                return PartEnd::CallerGone;
            }
            if is_last {
                return PartEnd::Whole;
            }
        }
    }

    /// Writes the head if it is due, the events as one chunk, and the end of the body, in one system call.
    async fn write(
        &mut self,
        call: &Call<'_>,
        attempt: &Attempt,
        events: &[u8],
        is_last: bool,
    ) -> std::io::Result<()> {
        self.out.clear();
        if !self.has_head && (!events.is_empty() || is_last) {
            self.has_head = true;
            let head = encode_head(&attempt.response.head, &BodyFraming::Chunked, call.keeps_alive());
            self.out.extend_from_slice(&head);
            meters::first_event(monotonic_now().millis_since(call.arrived));
        }
        if !events.is_empty() {
            self.note_events();
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
