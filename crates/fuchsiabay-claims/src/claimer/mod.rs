//! The claimer of one agent.

mod steps;

use std::collections::BTreeMap;

use fuchsiabay_base::{Fingerprint, Timestamp, Verdict, WriterId, invariant, is_mechanism_enabled};
use serde::Serialize;

use crate::{
    CallId, CallReply, Claim, ClaimError, ClaimId, ClaimKey, ClaimLedger, ClaimLimits, ClaimRecord,
    DispatchResult, KeyHolder, LoggedRecord, RecordEffect,
    call::{Call, CallState},
};

/// Appends are at least this far apart, in milliseconds, because the log takes only a few hundred a second from
/// all its writers together.
pub const APPEND_INTERVAL_MS: u64 = 10;

/// The most records of one append, which bounds the size of a request to the log after an outage.
const MAX_BATCH_RECORDS: usize = 256;

/// How long a call waits for the outcome of another call with its key, in milliseconds. A holder that died never
/// records one, and its caller's next step is to ask again.
pub const HOLDER_WAIT_MS: u64 = 2_000;

/// Identifies one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// What the agent has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Append the records to the stream `claims` in one append and report its result once.
    Append {
        /// Identifies the append.
        batch: BatchId,
        /// The records.
        records: Vec<ClaimRecord>,
    },
    /// Hand the call to the service, once, and report its end.
    Dispatch {
        /// The call.
        call: CallId,
    },
    /// Reply to the call, which ends it.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: CallReply,
    },
}

/// A call to claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Identifies the call. Never used twice within one life of the agent.
    pub call: CallId,
    /// What runs at most once.
    pub key: ClaimKey,
    /// The content hash of the call.
    pub fingerprint: Fingerprint,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// A summary for the dump of an agent's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ClaimerStatus {
    /// Calls without an answer.
    pub calls: usize,
    /// Keys in memory.
    pub keys: usize,
    /// Records that wait for an append.
    pub queued_records: usize,
    /// Whether an append has not been answered.
    pub append_in_flight: bool,
    /// Whether the log is taken to be down.
    pub log_down: bool,
    /// The offset to read next.
    pub next_offset: Option<u64>,
}

#[derive(Debug)]
struct Batch {
    id: BatchId,
    records: Vec<ClaimRecord>,
}

/// Claims keys for the calls of one agent: `now` and events go in, commands come out.
///
/// Every `now` and every deadline is on the Unix epoch, because keys and log records carry such times. Safety does
/// not depend on the agent's clock: the log's append times decide which claims are valid.
#[derive(Debug)]
pub struct Claimer {
    writer: WriterId,
    ledger: ClaimLedger,
    calls: BTreeMap<CallId, Call>,
    by_key: BTreeMap<ClaimKey, Vec<CallId>>,
    by_claim: BTreeMap<ClaimId, CallId>,
    next_claim: u64,
    next_batch: u64,
    outbox: Vec<ClaimRecord>,
    in_flight: Option<Batch>,
    append_from: Timestamp,
    log_down: bool,
    commands: Vec<Command>,
}

/// Commands: events that change the state.
impl Claimer {
    /// Creates the claimer of the agent `writer`.
    pub fn new(writer: WriterId, limits: ClaimLimits) -> Self {
        Self {
            writer,
            ledger: ClaimLedger::new(limits),
            calls: BTreeMap::new(),
            by_key: BTreeMap::new(),
            by_claim: BTreeMap::new(),
            next_claim: 1,
            next_batch: 1,
            outbox: Vec::new(),
            in_flight: None,
            append_from: Timestamp::ZERO,
            log_down: true,
            commands: Vec::new(),
        }
    }

    /// Takes in a call.
    pub fn submit(&mut self, now: Timestamp, submission: Submission) {
        let Submission { call, key, fingerprint, deadline } = submission;
        invariant!("call-ids-are-unique", !self.calls.contains_key(&call), "{call:?} submitted twice");
        self.by_key.entry(key.clone()).or_default().push(call);
        let state = CallState::Waiting { until: deadline };
        self.calls.insert(call, Call { key, fingerprint, deadline, state });
        self.proceed(now, call);
        self.tick(now);
    }

    /// Notes that the append `batch` was acknowledged.
    pub fn append_acknowledged(&mut self, now: Timestamp, batch: BatchId) {
        let Some(batch) = self.take_batch(batch) else {
            return;
        };
        if !is_mechanism_enabled("claim-read-back") {
            for record in &batch.records {
                self.dispatch_own(record.claim());
            }
        }
        self.log_down = false;
        self.tick(now);
    }

    /// Notes that the append `batch` provably had no effect.
    pub fn append_refused(&mut self, now: Timestamp, batch: BatchId) {
        let Some(batch) = self.take_batch(batch) else {
            return;
        };
        for record in batch.records {
            match &record {
                ClaimRecord::Claim { claim, .. } => self.drop_claim(claim),
                _ => self.outbox.push(record),
            }
        }
        self.log_unavailable(now);
    }

    /// Notes that the answer to the append `batch` was lost. Its claims are abandoned for good: they may arrive
    /// in the log at any later time, and their callers are told `not-run` now.
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

    /// Notes a page of the log: its first retained offset and its records in order, perhaps none.
    pub fn apply_page(&mut self, now: Timestamp, first: u64, records: &[LoggedRecord]) {
        self.expire(now);
        self.log_down = false;
        let first_at =
            records.first().filter(|record| record.offset == first).map_or(now, |record| record.at);
        if self.ledger.skip_to(first, first_at) {
            self.gap();
        }
        for logged in records {
            if self.ledger.skip_to(logged.offset, logged.at) {
                self.gap();
            }
            let effect = self.ledger.apply(logged);
            if let Some(record) = &logged.record {
                self.react(now, effect, record.claim());
            }
        }
        self.tick(now);
    }

    /// Notes that the log cannot be read or written. Claims that were not sent yet are given up at once.
    pub fn log_unavailable(&mut self, now: Timestamp) {
        self.log_down = true;
        let queued = |call: &Call| matches!(call.state, CallState::Queued(_));
        for id in self.calls_where(queued) {
            self.give_up(id, ClaimError::LogUnavailable);
        }
        let waiting = |call: &Call| matches!(call.state, CallState::Waiting { .. });
        for id in self.calls_where(waiting) {
            self.give_up(id, ClaimError::ClaimHeld);
        }
        self.tick(now);
    }

    /// Gives up a call for the reason `error`. A call that was dispatched stays until its end is reported.
    pub fn cancel(&mut self, now: Timestamp, call: CallId, error: ClaimError) -> Verdict {
        let verdict = self.give_up(call, error);
        self.tick(now);
        verdict
    }

    /// Notes how a dispatch ended. A lost connection to the service is [`DispatchResult::Unknown`].
    pub fn dispatch_finished(&mut self, now: Timestamp, call: CallId, result: DispatchResult) {
        let Some(CallState::Dispatched(id)) = self.calls.get(&call).map(|call| call.state) else {
            return;
        };
        let Some(call_state) = self.remove(call) else {
            return;
        };
        let claim = Claim { key: call_state.key, writer: self.writer.clone(), id };
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

    /// Lets time pass: answers calls whose deadline passed and starts the next append.
    pub fn tick(&mut self, now: Timestamp) {
        self.expire(now);
        self.outbox.retain(|record| is_claim(record) || !self.ledger.is_forgotten(&record.claim().key, now));
        if self.log_down || self.in_flight.is_some() || self.outbox.is_empty() || now < self.append_from {
            return;
        }
        self.append_from = now.plus_millis(APPEND_INTERVAL_MS);
        let count = self.outbox.len().min(MAX_BATCH_RECORDS);
        let records: Vec<ClaimRecord> = self.outbox.drain(..count).collect();
        for record in &records {
            self.mark_sent(record);
        }
        let id = BatchId(self.next_batch);
        self.next_batch += 1;
        self.commands.push(Command::Append { batch: id, records: records.clone() });
        self.in_flight = Some(Batch { id, records });
    }

    /// Returns the commands since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

/// Queries.
impl Claimer {
    /// Returns when [`Claimer::tick`] is to be called next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let append = !self.log_down && self.in_flight.is_none() && !self.outbox.is_empty();
        let append = append.then_some(self.append_from);
        self.calls.values().filter_map(Call::expires_at).chain(append).min()
    }

    /// Returns whether a call waits for a record of the log, so that reading it soon is worthwhile.
    pub fn awaits_records(&self) -> bool {
        self.in_flight.is_some() || self.calls.values().any(|call| call.expires_at().is_some())
    }

    /// Returns whether no call is open and no record waits for the log, so that the agent may stop.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.outbox.is_empty() && self.in_flight.is_none()
    }

    /// Returns the reduced claims.
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

/// Returns the answer that the holder of a key allows at once, or none while its outcome is not recorded.
fn reply_from(held: &KeyHolder, fingerprint: Fingerprint) -> Option<CallReply> {
    if held.fingerprint != fingerprint {
        return Some(CallReply::not_run(ClaimError::KeyReused));
    }
    held.outcome.clone().map(CallReply::ran)
}
