//! The entry instances of the world, and the evaluation of a case.

use super::*;

impl ClaimsWorld<'_> {
    pub(super) fn handle_entry_message(&mut self, call: usize, message: EntryMessage) {
        match message {
            EntryMessage::End(end) => self.handle_call_event(call, EntryEvent::End(&end)),
            EntryMessage::NotSent(id) => {
                self.handle_call_event(call, EntryEvent::NotSent { attempt: AttemptId(id) })
            }
            EntryMessage::ConnectionLost(id) => {
                self.handle_call_event(call, EntryEvent::ConnectionLost { attempt: AttemptId(id) })
            }
            EntryMessage::WaitElapsed => self.handle_call_event(call, EntryEvent::WaitElapsed),
            EntryMessage::Deadline => self.handle_call_event(call, EntryEvent::Deadline),
            EntryMessage::CancelTimeout(id) => {
                let attempt = AttemptId(id);
                self.handle_call_event(call, EntryEvent::Cancelled { attempt, verdict: Verdict::MayHaveRun });
            }
        }
    }

    /// Passes an event to the call's request machine and executes its commands.
    pub(super) fn handle_call_event(&mut self, index: usize, event: EntryEvent<'_>) {
        let now = self.now();
        let call = &mut self.calls[index];
        let mut cx = EntryContext {
            agents: &self.agents,
            first_agent: call.first_agent,
            next_attempt: &mut self.next_attempt,
        };
        call.machine.handle(event, &mut cx, now);
        while let Some(command) = self.calls[index].machine.next_command() {
            self.execute_entry_command(index, command);
        }
    }

    pub(super) fn execute_entry_command(&mut self, index: usize, command: EntryCommand<Target>) {
        let delay = self.delay();
        let call = &mut self.calls[index];
        match command {
            EntryCommand::Submit { attempt, target, .. } => {
                call.attempts.push(attempt.0);
                let agent = &self.agents[target.agent];
                if !agent.alive || agent.writer_id() != target.writer_id {
                    return self.send_to_entry(delay, index, EntryMessage::NotSent(attempt.0));
                }
                let message = Message::Submit {
                    attempt: attempt.0,
                    key: call.claim_key.clone(),
                    fingerprint: Fingerprint::of(&[&[call.body]]),
                    deadline: call.deadline,
                };
                self.attempts.insert(attempt.0, (index, target.agent));
                self.send_to_agent(delay, target.agent, message);
            }
            EntryCommand::Wait { until } => {
                self.schedule.at(until, Event::ToEntry { call: index, message: EntryMessage::WaitElapsed });
            }
            EntryCommand::Cancel { attempt, target, awaited } => {
                self.send_to_agent(delay, target.agent, Message::Cancel { attempt: attempt.0 });
                if awaited {
                    self.send_to_entry(CANCEL_WAIT_MS, index, EntryMessage::CancelTimeout(attempt.0));
                }
            }
            EntryCommand::Finish => {
                let response = call.machine.take_response();
                call.result = Some((Verdict::Ran, response));
            }
            EntryCommand::Fail(failure) => call.result = Some((failure.verdict, None)),
            EntryCommand::Write { .. } | EntryCommand::ClearSuspicion => {}
        }
    }

    /// Compares what ran at the service with the verdicts and responses of the callers.
    pub(super) fn evaluate(self, promise: Promise) -> Outcome {
        let mut outcome = Outcome::default();
        for (key, attempts) in &self.runs {
            outcome.add_fact(format!("runs of key {key}"), attempts.len().to_string());
            if attempts.len() > 1 && promise == Promise::AtMostOnce {
                outcome.add_violation(format!("key {key} ran {} times", attempts.len()));
            }
        }
        let ran: BTreeSet<u64> = self.runs.values().flatten().copied().collect();
        for attempt in self.answered_not_run.intersection(&ran) {
            if promise == Promise::NotRunIsTrue {
                outcome.add_violation(format!("attempt {attempt} was answered not-run and ran"));
            }
        }
        let without_faults = !self.steps.iter().any(|step| step.action.is_fault());
        for (i, call) in self.calls.iter().enumerate() {
            let Some((verdict, response)) = &call.result else {
                outcome.add_violation(format!("call {i} was never answered"));
                continue;
            };
            outcome.add_fact(format!("call {i}"), verdict.as_str());
            match promise {
                Promise::AtMostOnce => check_ran(&mut outcome, i, call, response.as_ref(), &self.runs),
                _ => check_not_run(&mut outcome, i, call, *verdict, &ran),
            }
            let same_body = self.calls.iter().all(|other| other.key != call.key || other.body == call.body);
            if without_faults && same_body && *verdict != Verdict::Ran {
                outcome.add_violation(format!("call {i} was answered {verdict} although there was no fault"));
            }
        }
        outcome
    }
}
