//! State transitions of calls.

use super::*;

impl Claimer {
    /// Advances a call without a claim: replies to it, makes it wait for the holder of its key, or queues a claim.
    pub(super) fn advance_call(&mut self, now: Timestamp, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(holder) = self.ledger.holder(&call.key) {
            let reply = reply_from(holder, call.fingerprint);
            return match reply {
                Some(reply) => self.reply(id, reply),
                None if self.log_down => self.reply(id, CallReply::may_have_run(ClaimError::ClaimHeld)),
                None => self.wait_for_holder(now, id),
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
        let claim = ClaimId(self.next_claim_id);
        self.next_claim_id += 1;
        self.calls_by_claim.insert(claim, id);
        self.set_state(id, CallState::Queued(claim));
        let claim = Claim { key, writer: self.writer.clone(), id: claim };
        self.outbox.push(ClaimRecord::Claim { claim, fingerprint });
    }

    pub(super) fn wait_for_holder(&mut self, now: Timestamp, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            let until = call.deadline.min(now.plus_millis(HOLDER_WAIT_MS));
            call.state = CallState::Waiting { until };
        }
    }

    pub(super) fn handle_effect(&mut self, now: Timestamp, effect: RecordEffect, claim: &Claim) {
        match effect {
            RecordEffect::Won => self.dispatch_claimed(claim),
            RecordEffect::Lost => {
                if let Some(call) = self.call_of_claim(claim) {
                    self.calls_by_claim.remove(&claim.id);
                    self.advance_call(now, call);
                }
            }
            RecordEffect::Void => {
                if let Some(call) = self.call_of_claim(claim) {
                    self.reply(call, CallReply::not_run(ClaimError::KeyOutsideWindow));
                }
            }
            RecordEffect::Completed | RecordEffect::Released => {
                let calls = self.calls_by_key.get(&claim.key).cloned().unwrap_or_default();
                for call in calls {
                    if matches!(self.calls.get(&call).map(|call| call.state), Some(CallState::Waiting { .. }))
                    {
                        self.advance_call(now, call);
                    }
                }
            }
            RecordEffect::Unchanged => {}
        }
    }

    /// Dispatches the call of a claim that won, unless the claim is another agent's or was abandoned.
    pub(super) fn dispatch_claimed(&mut self, claim: &Claim) {
        let Some(call) = self.call_of_claim(claim) else {
            return;
        };
        let holds_key = self.ledger.holder(&claim.key).is_some_and(|holder| holder.claim == *claim);
        invariant!(
            "dispatch-only-by-the-winner",
            holds_key || !is_mechanism_enabled("claim-read-back"),
            "{claim:?} does not hold its key"
        );
        self.calls_by_claim.remove(&claim.id);
        self.set_state(call, CallState::Dispatched(claim.id));
        self.commands.push(Command::Dispatch { call });
    }

    /// Returns the call of a claim. `None` if the claim is another agent's, or is no longer pending.
    pub(super) fn call_of_claim(&self, claim: &Claim) -> Option<CallId> {
        if claim.writer != self.writer {
            return None;
        }
        self.calls_by_claim.get(&claim.id).copied()
    }

    /// Abandons a claim whose append has an unknown result, unless the claim was read back before.
    pub(super) fn abandon_claim(&mut self, claim: &Claim) {
        let Some(call) = self.call_of_claim(claim) else {
            return;
        };
        if is_mechanism_enabled("abandon-unknown-append") {
            self.fail_undispatched(call, ClaimError::LogUnavailable);
            return;
        }
        self.commands.push(Command::Reply { call, reply: CallReply::not_run(ClaimError::LogUnavailable) });
    }

    /// Fails the call of a claim that is not in the log and never will be.
    pub(super) fn reject_claim(&mut self, claim: &Claim) {
        if let Some(call) = self.call_of_claim(claim) {
            self.reply(call, CallReply::not_run(ClaimError::LogUnavailable));
        }
    }

    /// Fails a call that was not dispatched, once its claim can no longer lead to a dispatch. Returns its verdict.
    pub(super) fn fail_undispatched(&mut self, id: CallId, error: ClaimError) -> Verdict {
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
        if self.remove_call(id).is_some() {
            self.commands.push(Command::Reply { call: id, reply });
        }
    }

    pub(super) fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if let CallState::Queued(claim) | CallState::Sent(claim) = call.state {
            self.calls_by_claim.remove(&claim);
        }
        if let Some(calls) = self.calls_by_key.get_mut(&call.key) {
            calls.retain(|other| *other != id);
            if calls.is_empty() {
                self.calls_by_key.remove(&call.key);
            }
        }
        Some(call)
    }

    /// Fails every call that was not dispatched, because the dropped records may contain an earlier claim.
    pub(super) fn handle_gap(&mut self) {
        if !is_mechanism_enabled("gap-rule") {
            return;
        }
        for id in self.calls_where(|call| !matches!(call.state, CallState::Dispatched(_))) {
            self.fail_undispatched(id, ClaimError::LogUnavailable);
        }
    }

    pub(super) fn fail_expired(&mut self, now: Timestamp) {
        for id in self.calls_where(|call| call.expires_at().is_some_and(|at| at <= now)) {
            self.fail_undispatched(id, ClaimError::DeadlinePassed);
        }
    }

    pub(super) fn calls_where(&self, predicate: impl Fn(&Call) -> bool) -> Vec<CallId> {
        self.calls.iter().filter(|(_, call)| predicate(call)).map(|(id, _)| *id).collect()
    }

    pub(super) fn mark_sent(&mut self, record: &ClaimRecord) {
        let ClaimRecord::Claim { claim, .. } = record else {
            return;
        };
        if let Some(call) = self.call_of_claim(claim) {
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
