//! The claimer of one agent.

use std::collections::BTreeMap;

use fuchsiabay_base::{Fingerprint, Timestamp, Verdict, WriterId, invariant, mechanism};
use serde::Serialize;

use crate::{
    Answer, CallId, Claim, ClaimError, ClaimId, ClaimKey, ClaimLedger, ClaimLimits, ClaimRecord, Effect,
    Finished, Held, Logged,
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
    /// Answer the call. It is over.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
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
        if !mechanism("claim-read-back") {
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
    pub fn page(&mut self, now: Timestamp, first: u64, records: &[Logged]) {
        self.expire(now);
        self.log_down = false;
        let first_at =
            records.first().filter(|record| record.offset == first).map_or(now, |record| record.at);
        if self.ledger.begin(first, first_at) {
            self.gap();
        }
        for logged in records {
            if self.ledger.begin(logged.offset, logged.at) {
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

    /// Notes how a dispatch ended. A lost connection to the service is [`Finished::Unknown`].
    pub fn dispatch_finished(&mut self, now: Timestamp, call: CallId, finished: Finished) {
        let Some(CallState::Dispatched(id)) = self.calls.get(&call).map(|call| call.state) else {
            return;
        };
        let Some(call_state) = self.remove(call) else {
            return;
        };
        let claim = Claim { key: call_state.key, writer: self.writer.clone(), id };
        let answer = match finished {
            Finished::Responded(response) => {
                self.outbox.push(ClaimRecord::Outcome { claim, response: response.clone() });
                Answer::ran(response)
            }
            Finished::NotStarted => {
                self.outbox.push(ClaimRecord::Release { claim });
                Answer::not_run(ClaimError::BackendLost)
            }
            Finished::Unknown => Answer::may_have_run(ClaimError::BackendLost),
        };
        self.commands.push(Command::Answer { call, answer });
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
    pub fn wants_page(&self) -> bool {
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

impl Claimer {
    /// Decides the next step of a call that holds no claim: answer, wait or claim.
    fn proceed(&mut self, now: Timestamp, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(held) = self.ledger.held(&call.key) {
            let answer = answer_from(held, call.fingerprint);
            return match answer {
                Some(answer) => self.answer(id, answer),
                None if self.log_down => self.answer(id, Answer::may_have_run(ClaimError::ClaimHeld)),
                None => self.wait(now, id),
            };
        }
        let checked = self.ledger.check_key(&call.key, now);
        let key = call.key.clone();
        let fingerprint = call.fingerprint;
        if let Err(error) = checked {
            return self.answer(id, Answer::not_run(error));
        }
        if self.log_down {
            return self.answer(id, Answer::not_run(ClaimError::LogUnavailable));
        }
        let claim = ClaimId(self.next_claim);
        self.next_claim += 1;
        self.by_claim.insert(claim, id);
        self.set_state(id, CallState::Queued(claim));
        let claim = Claim { key, writer: self.writer.clone(), id: claim };
        self.outbox.push(ClaimRecord::Claim { claim, fingerprint });
    }

    fn wait(&mut self, now: Timestamp, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            let until = call.deadline.min(now.plus_millis(HOLDER_WAIT_MS));
            call.state = CallState::Waiting { until };
        }
    }

    fn react(&mut self, now: Timestamp, effect: Effect, claim: &Claim) {
        match effect {
            Effect::Won => self.dispatch_own(claim),
            Effect::Lost => {
                if let Some(call) = self.own_call(claim) {
                    self.by_claim.remove(&claim.id);
                    self.proceed(now, call);
                }
            }
            Effect::Void => {
                if let Some(call) = self.own_call(claim) {
                    self.answer(call, Answer::not_run(ClaimError::KeyOutsideWindow));
                }
            }
            Effect::Finished | Effect::Freed => {
                let calls = self.by_key.get(&claim.key).cloned().unwrap_or_default();
                for call in calls {
                    if matches!(self.calls.get(&call).map(|call| call.state), Some(CallState::Waiting { .. }))
                    {
                        self.proceed(now, call);
                    }
                }
            }
            Effect::Nothing => {}
        }
    }

    /// Dispatches the call of an own claim that won. An abandoned claim has no call any more.
    fn dispatch_own(&mut self, claim: &Claim) {
        let Some(call) = self.own_call(claim) else {
            return;
        };
        let holds = self.ledger.held(&claim.key).is_some_and(|held| held.claim == *claim);
        invariant!(
            "dispatch-only-by-the-winner",
            holds || !mechanism("claim-read-back"),
            "{claim:?} does not hold its key"
        );
        self.by_claim.remove(&claim.id);
        self.set_state(call, CallState::Dispatched(claim.id));
        self.commands.push(Command::Dispatch { call });
    }

    /// Returns the call of an own claim that was sent and not abandoned.
    fn own_call(&self, claim: &Claim) -> Option<CallId> {
        if claim.writer != self.writer {
            return None;
        }
        self.by_claim.get(&claim.id).copied()
    }

    /// Abandons the claim of an append without an answer, unless it was read back before.
    fn abandon_claim(&mut self, claim: &Claim) {
        let Some(call) = self.own_call(claim) else {
            return;
        };
        if mechanism("abandon-unknown-append") {
            self.give_up(call, ClaimError::LogUnavailable);
            return;
        }
        self.commands.push(Command::Answer { call, answer: Answer::not_run(ClaimError::LogUnavailable) });
    }

    /// Answers the call of a claim that is provably not in the log.
    fn drop_claim(&mut self, claim: &Claim) {
        if let Some(call) = self.own_call(claim) {
            self.answer(call, Answer::not_run(ClaimError::LogUnavailable));
        }
    }

    /// Answers a call that was not dispatched, after its claim can no longer lead to a dispatch.
    fn give_up(&mut self, id: CallId, error: ClaimError) -> Verdict {
        let Some(call) = self.calls.get(&id) else {
            return Verdict::MayHaveRun;
        };
        let answer = match call.state {
            CallState::Dispatched(_) => return Verdict::MayHaveRun,
            CallState::Waiting { .. } => Answer::may_have_run(ClaimError::ClaimHeld),
            CallState::Queued(claim) => {
                self.outbox.retain(|record| record.claim().id != claim || !is_claim(record));
                Answer::not_run(error)
            }
            CallState::Sent(claim) => {
                let claim = Claim { key: call.key.clone(), writer: self.writer.clone(), id: claim };
                self.outbox.push(ClaimRecord::Release { claim });
                Answer::not_run(error)
            }
        };
        let verdict = answer.verdict;
        self.answer(id, answer);
        verdict
    }

    fn answer(&mut self, id: CallId, answer: Answer) {
        if self.remove(id).is_some() {
            self.commands.push(Command::Answer { call: id, answer });
        }
    }

    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if let CallState::Queued(claim) | CallState::Sent(claim) = call.state {
            self.by_claim.remove(&claim);
        }
        if let Some(calls) = self.by_key.get_mut(&call.key) {
            calls.retain(|other| *other != id);
            if calls.is_empty() {
                self.by_key.remove(&call.key);
            }
        }
        Some(call)
    }

    /// Gives up every call that was not dispatched: an earlier claim may be among the records that were dropped.
    fn gap(&mut self) {
        if !mechanism("gap-rule") {
            return;
        }
        for id in self.calls_where(|call| !matches!(call.state, CallState::Dispatched(_))) {
            self.give_up(id, ClaimError::LogUnavailable);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        for id in self.calls_where(|call| call.expires_at().is_some_and(|at| at <= now)) {
            self.give_up(id, ClaimError::DeadlinePassed);
        }
    }

    fn calls_where(&self, wanted: impl Fn(&Call) -> bool) -> Vec<CallId> {
        self.calls.iter().filter(|(_, call)| wanted(call)).map(|(id, _)| *id).collect()
    }

    fn mark_sent(&mut self, record: &ClaimRecord) {
        let ClaimRecord::Claim { claim, .. } = record else {
            return;
        };
        if let Some(call) = self.own_call(claim) {
            self.set_state(call, CallState::Sent(claim.id));
        }
    }

    fn set_state(&mut self, id: CallId, state: CallState) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = state;
        }
    }

    fn take_batch(&mut self, id: BatchId) -> Option<Batch> {
        self.in_flight.take_if(|batch| batch.id == id)
    }
}

fn is_claim(record: &ClaimRecord) -> bool {
    matches!(record, ClaimRecord::Claim { .. })
}

/// Returns the answer that the holder of a key allows at once, or none while its outcome is not recorded.
fn answer_from(held: &Held, fingerprint: Fingerprint) -> Option<Answer> {
    if held.fingerprint != fingerprint {
        return Some(Answer::not_run(ClaimError::KeyReused));
    }
    held.outcome.clone().map(Answer::ran)
}
