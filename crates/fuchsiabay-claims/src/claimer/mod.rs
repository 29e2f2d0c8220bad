//! An agent's claimer.

mod transitions;

use std::collections::BTreeMap;

use fuchsiabay_base::{Fingerprint, Timestamp, Verdict, WriterId, invariant, is_mechanism_enabled};
use serde::Serialize;

use crate::{
    CallId, CallReply, Claim, ClaimError, ClaimId, ClaimKey, ClaimLedger, ClaimLimits, ClaimRecord,
    DispatchResult, KeyHolder, LoggedRecord, RecordEffect,
    call::{Call, CallState},
};

/// The shortest interval between two appends, in milliseconds. The log accepts only a few hundred appends per second
/// from all its writers together.
pub const APPEND_INTERVAL_MS: u64 = 10;

/// The maximum number of records in one append. It bounds the size of the first request to the log after an outage.
const MAX_BATCH_RECORDS: usize = 256;

/// How long a call waits for the outcome of the call that holds its key, in milliseconds. A holder that crashed never
/// records an outcome, so the wait is bounded and the caller retries.
pub const HOLDER_WAIT_MS: u64 = 2_000;

/// Identifies one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// What the claimer asks its agent to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Append the records to the stream `claims` in a single append, and report its result exactly once.
    Append {
        /// Identifies the append.
        batch: BatchId,
        /// The records.
        records: Vec<ClaimRecord>,
    },
    /// Send the call to the service once, and report the result.
    Dispatch {
        /// The call.
        call: CallId,
    },
    /// Reply to the call, which ends it.
    Reply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: CallReply,
    },
}

/// A call to claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Identifies the call. Not reused within one incarnation of the agent.
    pub call: CallId,
    /// The key under which the call runs at most once.
    pub key: ClaimKey,
    /// The content hash of the call.
    pub fingerprint: Fingerprint,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// A summary of a claimer for the state dump of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ClaimerStatus {
    /// Calls without a reply.
    pub calls: usize,
    /// Keys in memory.
    pub keys: usize,
    /// Records queued for an append.
    pub queued_records: usize,
    /// Whether the result of an append is outstanding.
    pub append_in_flight: bool,
    /// Whether the log is considered unavailable.
    pub log_down: bool,
    /// The offset to read next.
    pub next_offset: Option<u64>,
}

#[derive(Debug)]
struct Batch {
    id: BatchId,
    records: Vec<ClaimRecord>,
}

/// Claims keys for the calls of one agent. A pure state machine: events and the current time go in, commands come out.
///
/// Every `now` and every deadline is in Unix time, like the times in keys and log records. Safety does not depend on
/// the agent's clock: the log's append times decide which claims are valid.
#[derive(Debug)]
pub struct Claimer {
    writer: WriterId,
    ledger: ClaimLedger,
    calls: BTreeMap<CallId, Call>,
    calls_by_key: BTreeMap<ClaimKey, Vec<CallId>>,
    calls_by_claim: BTreeMap<ClaimId, CallId>,
    next_claim_id: u64,
    next_batch_id: u64,
    outbox: Vec<ClaimRecord>,
    in_flight: Option<Batch>,
    next_append_at: Timestamp,
    log_down: bool,
    commands: Vec<Command>,
}

/// Events.
impl Claimer {
    /// Creates the claimer of the agent `writer`.
    pub fn new(writer: WriterId, limits: ClaimLimits) -> Self {
        Self {
            writer,
            ledger: ClaimLedger::new(limits),
            calls: BTreeMap::new(),
            calls_by_key: BTreeMap::new(),
            calls_by_claim: BTreeMap::new(),
            next_claim_id: 1,
            next_batch_id: 1,
            outbox: Vec::new(),
            in_flight: None,
            next_append_at: Timestamp::ZERO,
            log_down: true,
            commands: Vec::new(),
        }
    }

    /// Submits a call.
    pub fn submit(&mut self, now: Timestamp, submission: Submission) {
        let Submission { call, key, fingerprint, deadline } = submission;
        invariant!("call-ids-are-unique", !self.calls.contains_key(&call), "{call:?} submitted twice");
        self.calls_by_key.entry(key.clone()).or_default().push(call);
        let state = CallState::Waiting { until: deadline };
        self.calls.insert(call, Call { key, fingerprint, deadline, state });
        self.advance_call(now, call);
        self.tick(now);
    }

    /// Handles the acknowledgement of the append `batch`.
    pub fn append_acknowledged(&mut self, now: Timestamp, batch: BatchId) {
        let Some(batch) = self.take_batch(batch) else {
            return;
        };
        if !is_mechanism_enabled("claim-read-back") {
            for record in &batch.records {
                self.dispatch_claimed(record.claim());
            }
        }
        self.log_down = false;
        self.tick(now);
    }

    /// Handles the refusal of the append `batch`: it had no effect and never will.
    pub fn append_refused(&mut self, now: Timestamp, batch: BatchId) {
        let Some(batch) = self.take_batch(batch) else {
            return;
        };
        for record in batch.records {
            match &record {
                ClaimRecord::Claim { claim, .. } => self.reject_claim(claim),
                _ => self.outbox.push(record),
            }
        }
        self.log_unavailable(now);
    }

    /// Handles an unknown result of the append `batch`. Its claims are abandoned for good: their callers get
    /// the verdict `not-run` now, although the records may still appear in the log at any later time.
    pub fn append_unknown(&mut self, now: Timestamp, batch: BatchId) {
        let Some(batch) = self.take_batch(batch) else {
            return;
        };
        for record in batch.records {
            match &record {
                ClaimRecord::Claim { claim, .. } => self.abandon_claim(claim),
                _ => self.outbox.push(record),
            }
        }
        self.log_unavailable(now);
    }

    /// Applies a page of the log: its first retained offset and its records in order, possibly none.
    pub fn apply_page(&mut self, now: Timestamp, first: u64, records: &[LoggedRecord]) {
        self.fail_expired(now);
        self.log_down = false;
        let first_at =
            records.first().filter(|record| record.offset == first).map_or(now, |record| record.at);
        if self.ledger.skip_to(first, first_at) {
            self.handle_gap();
        }
        for logged in records {
            if self.ledger.skip_to(logged.offset, logged.at) {
                self.handle_gap();
            }
            let effect = self.ledger.apply(logged);
            if let Some(record) = &logged.record {
                self.handle_effect(now, effect, record.claim());
            }
        }
        self.tick(now);
    }

    /// Handles a failure to read from or write to the log. Calls whose claim was not sent yet, and calls that wait for
    /// another call's outcome, fail at once.
    pub fn log_unavailable(&mut self, now: Timestamp) {
        self.log_down = true;
        let is_queued = |call: &Call| matches!(call.state, CallState::Queued(_));
        for id in self.calls_where(is_queued) {
            self.fail_undispatched(id, ClaimError::LogUnavailable);
        }
        let is_waiting = |call: &Call| matches!(call.state, CallState::Waiting { .. });
        for id in self.calls_where(is_waiting) {
            self.fail_undispatched(id, ClaimError::ClaimHeld);
        }
        self.tick(now);
    }

    /// Fails a call with `error`. A dispatched call is not affected; it remains until its result is reported.
    pub fn cancel(&mut self, now: Timestamp, call: CallId, error: ClaimError) -> Verdict {
        let verdict = self.fail_undispatched(call, error);
        self.tick(now);
        verdict
    }

    /// Handles the result of a dispatch. A lost connection to the service is [`DispatchResult::Unknown`].
    pub fn dispatch_finished(&mut self, now: Timestamp, call: CallId, result: DispatchResult) {
        let Some(CallState::Dispatched(id)) = self.calls.get(&call).map(|call| call.state) else {
            return;
        };
        let Some(removed) = self.remove_call(call) else {
            return;
        };
        let claim = Claim { key: removed.key, writer: self.writer.clone(), id };
        let reply = match result {
            DispatchResult::Responded(response) => {
                self.outbox.push(ClaimRecord::Outcome { claim, response: response.clone() });
                CallReply::ran(response)
            }
            DispatchResult::NotStarted => {
                self.outbox.push(ClaimRecord::Release { claim });
                CallReply::not_run(ClaimError::BackendLost)
            }
            DispatchResult::Unknown => CallReply::may_have_run(ClaimError::BackendLost),
        };
        self.commands.push(Command::Reply { call, reply });
        self.tick(now);
    }

    /// Fails calls whose deadline has passed, and starts the next append if it is due.
    pub fn tick(&mut self, now: Timestamp) {
        self.fail_expired(now);
        self.outbox.retain(|record| is_claim(record) || !self.ledger.is_expired(&record.claim().key, now));
        if self.log_down || self.in_flight.is_some() || self.outbox.is_empty() || now < self.next_append_at {
            return;
        }
        self.next_append_at = now.plus_millis(APPEND_INTERVAL_MS);
        let count = self.outbox.len().min(MAX_BATCH_RECORDS);
        let records: Vec<ClaimRecord> = self.outbox.drain(..count).collect();
        for record in &records {
            self.mark_sent(record);
        }
        let id = BatchId(self.next_batch_id);
        self.next_batch_id += 1;
        self.commands.push(Command::Append { batch: id, records: records.clone() });
        self.in_flight = Some(Batch { id, records });
    }

    /// Takes the commands issued since the last call of this method, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

/// Queries.
impl Claimer {
    /// Returns when [`Claimer::tick`] must be called next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let can_append = !self.log_down && self.in_flight.is_none() && !self.outbox.is_empty();
        let append_at = can_append.then_some(self.next_append_at);
        self.calls.values().filter_map(Call::expires_at).chain(append_at).min()
    }

    /// Returns whether an append is in flight or a call waits for a record, so that the log should be polled often.
    pub fn awaits_records(&self) -> bool {
        self.in_flight.is_some() || self.calls.values().any(|call| call.expires_at().is_some())
    }

    /// Returns whether no call is open and no record is queued or in flight, so that the agent may stop.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.outbox.is_empty() && self.in_flight.is_none()
    }

    /// Returns the ledger of the claims read so far.
    pub fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// Returns a summary of the state.
    pub fn status(&self) -> ClaimerStatus {
        ClaimerStatus {
            calls: self.calls.len(),
            keys: self.ledger.len(),
            queued_records: self.outbox.len(),
            append_in_flight: self.in_flight.is_some(),
            log_down: self.log_down,
            next_offset: self.ledger.next_offset(),
        }
    }
}

impl Claimer {}

fn is_claim(record: &ClaimRecord) -> bool {
    matches!(record, ClaimRecord::Claim { .. })
}

/// Returns the reply to a call whose key has a holder. `None` while the holder has no recorded outcome.
fn reply_from(holder: &KeyHolder, fingerprint: Fingerprint) -> Option<CallReply> {
    if holder.fingerprint != fingerprint {
        return Some(CallReply::not_run(ClaimError::KeyReused));
    }
    holder.outcome.clone().map(CallReply::ran)
}
