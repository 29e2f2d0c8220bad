//! What follows from the state of a call and of its claim.

use super::*;

impl Claimer {
    /// Decides the next step of a call that holds no claim: answer, wait or claim.
    pub(super) fn proceed(&mut self, now: Timestamp, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(held) = self.ledger.holder(&call.key) {
            let reply = reply_from(held, call.fingerprint);
            return match reply {
                Some(reply) => self.reply(id, reply),
                None if self.log_down => self.reply(id, CallReply::may_have_run(ClaimError::ClaimHeld)),
                None => self.wait(now, id),
            };
        }
        let checked = self.ledger.check_key(&call.key, now);
        let key = call.key.clone();
        let fingerprint = call.fingerprint;
        if let Err(error) = checked {
            return self.reply(id, CallReply::not_run(error));
        }
        if self.log_down {
            return self.reply(id, CallReply::not_run(ClaimError::LogUnavailable));
        }
        let claim = ClaimId(self.next_claim);
        self.next_claim += 1;
        self.by_claim.insert(claim, id);
        self.set_state(id, CallState::Queued(claim));
        let claim = Claim { key, writer: self.writer.clone(), id: claim };
        self.outbox.push(ClaimRecord::Claim { claim, fingerprint });
    }

    pub(super) fn wait(&mut self, now: Timestamp, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            let until = call.deadline.min(now.plus_millis(HOLDER_WAIT_MS));
            call.state = CallState::Waiting { until };
        }
    }

    pub(super) fn react(&mut self, now: Timestamp, effect: RecordEffect, claim: &Claim) {
        match effect {
            RecordEffect::Won => self.dispatch_own(claim),
            RecordEffect::Lost => {
                if let Some(call) = self.own_call(claim) {
                    self.by_claim.remove(&claim.id);
                    self.proceed(now, call);
                }
            }
            RecordEffect::Void => {
                if let Some(call) = self.own_call(claim) {
                    self.reply(call, CallReply::not_run(ClaimError::KeyOutsideWindow));
                }
            }
            RecordEffect::Completed | RecordEffect::Released => {
                let calls = self.by_key.get(&claim.key).cloned().unwrap_or_default();
                for call in calls {
                    if matches!(self.calls.get(&call).map(|call| call.state), Some(CallState::Waiting { .. }))
                    {
                        self.proceed(now, call);
                    }
                }
            }
            RecordEffect::Unchanged => {}
        }
    }

    /// Dispatches the call of an own claim that won. An abandoned claim has no call any more.
    pub(super) fn dispatch_own(&mut self, claim: &Claim) {
        let Some(call) = self.own_call(claim) else {
            return;
        };
        let holds = self.ledger.holder(&claim.key).is_some_and(|held| held.claim == *claim);
        invariant!(
            "dispatch-only-by-the-winner",
            holds || !is_mechanism_enabled("claim-read-back"),
            "{claim:?} does not hold its key"
        );
        self.by_claim.remove(&claim.id);
        self.set_state(call, CallState::Dispatched(claim.id));
        self.commands.push(Command::Dispatch { call });
    }

    /// Returns the call of an own claim that was sent and not abandoned.
    pub(super) fn own_call(&self, claim: &Claim) -> Option<CallId> {
        if claim.writer != self.writer {
            return None;
        }
        self.by_claim.get(&claim.id).copied()
    }

    /// Abandons the claim of an append without an answer, unless it was read back before.
    pub(super) fn abandon_claim(&mut self, claim: &Claim) {
        let Some(call) = self.own_call(claim) else {
            return;
        };
        if is_mechanism_enabled("abandon-unknown-append") {
            self.give_up(call, ClaimError::LogUnavailable);
            return;
        }
        self.commands.push(Command::Reply { call, reply: CallReply::not_run(ClaimError::LogUnavailable) });
    }

    /// Answers the call of a claim that is provably not in the log.
    pub(super) fn drop_claim(&mut self, claim: &Claim) {
        if let Some(call) = self.own_call(claim) {
            self.reply(call, CallReply::not_run(ClaimError::LogUnavailable));
        }
    }

    /// Answers a call that was not dispatched, after its claim can no longer lead to a dispatch.
    pub(super) fn give_up(&mut self, id: CallId, error: ClaimError) -> Verdict {
        let Some(call) = self.calls.get(&id) else {
            return Verdict::MayHaveRun;
        };
        let reply = match call.state {
            CallState::Dispatched(_) => return Verdict::MayHaveRun,
            CallState::Waiting { .. } => CallReply::may_have_run(ClaimError::ClaimHeld),
            CallState::Queued(claim) => {
                self.outbox.retain(|record| record.claim().id != claim || !is_claim(record));
                CallReply::not_run(error)
            }
            CallState::Sent(claim) => {
                let claim = Claim { key: call.key.clone(), writer: self.writer.clone(), id: claim };
                self.outbox.push(ClaimRecord::Release { claim });
                CallReply::not_run(error)
            }
        };
        let verdict = reply.verdict;
        self.reply(id, reply);
        verdict
    }

    pub(super) fn reply(&mut self, id: CallId, reply: CallReply) {
        if self.remove(id).is_some() {
            self.commands.push(Command::Reply { call: id, reply });
        }
    }

    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
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
    pub(super) fn gap(&mut self) {
        if !is_mechanism_enabled("gap-rule") {
            return;
        }
        for id in self.calls_where(|call| !matches!(call.state, CallState::Dispatched(_))) {
            self.give_up(id, ClaimError::LogUnavailable);
        }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        for id in self.calls_where(|call| call.expires_at().is_some_and(|at| at <= now)) {
            self.give_up(id, ClaimError::DeadlinePassed);
        }
    }

    pub(super) fn calls_where(&self, wanted: impl Fn(&Call) -> bool) -> Vec<CallId> {
        self.calls.iter().filter(|(_, call)| wanted(call)).map(|(id, _)| *id).collect()
    }

    pub(super) fn mark_sent(&mut self, record: &ClaimRecord) {
        let ClaimRecord::Claim { claim, .. } = record else {
            return;
        };
        if let Some(call) = self.own_call(claim) {
            self.set_state(call, CallState::Sent(claim.id));
        }
    }

    pub(super) fn set_state(&mut self, id: CallId, state: CallState) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = state;
        }
    }

    pub(super) fn take_batch(&mut self, id: BatchId) -> Option<Batch> {
        self.in_flight.take_if(|batch| batch.id == id)
    }
}
