//! Transitions that end a request.

use super::*;

impl<T: Clone> RequestMachine<T> {
    pub(super) fn on_cancelled(&mut self, attempt: AttemptId, verdict: Verdict) {
        if matches!(&self.state, State::Cancelling(current) if current.id == attempt) {
            self.fail(FailureKind::DeadlinePassed, verdict, None);
        }
    }

    pub(super) fn on_deadline(&mut self) {
        let may_have_run = self.verdict.max(self.transcript_verdict()) != Verdict::NotRun;
        match std::mem::replace(&mut self.state, State::Done) {
            State::Attempting(attempt) if may_have_run => {
                self.push_cancel(&attempt, false);
                self.fail(FailureKind::DeadlinePassed, Verdict::MayHaveRun, None);
            }
            // Only the agent can tell whether the attempt has started.
            State::Attempting(attempt) => {
                self.push_cancel(&attempt, true);
                self.state = State::Cancelling(attempt);
            }
            State::New | State::Waiting => self.fail(FailureKind::DeadlinePassed, Verdict::NotRun, None),
            state @ (State::Cancelling(_) | State::Done) => self.state = state,
        }
    }

    pub(super) fn on_caller_gone(&mut self) {
        match std::mem::replace(&mut self.state, State::Done) {
            State::Attempting(attempt) => {
                self.push_cancel(&attempt, false);
                self.fail(FailureKind::CallerGone, Verdict::MayHaveRun, None);
            }
            // The cancellation is repeated, because the previous one may not have been sent yet.
            State::Cancelling(attempt) => {
                self.push_cancel(&attempt, false);
                self.fail(FailureKind::CallerGone, Verdict::MayHaveRun, None);
            }
            State::New | State::Waiting => self.fail(FailureKind::CallerGone, Verdict::NotRun, None),
            State::Done => {}
        }
    }

    pub(super) fn finish_plain(&mut self, end: &End) {
        if end.response.is_none() {
            return self.fail(FailureKind::Protocol, Verdict::Ran, None);
        }
        self.response.clone_from(&end.response);
        self.finish();
    }

    pub(super) fn finish(&mut self) {
        if matches!(&self.state, State::Attempting(attempt) if attempt.solo) {
            self.commands.push_back(Command::ClearSuspicion);
        }
        self.state = State::Done;
        self.commands.push_back(Command::Finish);
    }

    pub(super) fn fail(&mut self, kind: FailureKind, verdict: Verdict, retry_at: Option<Timestamp>) {
        self.state = State::Done;
        self.verdict = self.verdict.max(verdict).max(self.transcript_verdict());
        self.commands.push_back(Command::Fail(Failure {
            verdict: self.verdict,
            kind,
            retry_at,
            truncated: self.transcript.position() > 0,
        }));
    }

    pub(super) fn cancel_current(&mut self, attempt: AttemptId) {
        if let State::Attempting(current) = &self.state
            && current.id == attempt
        {
            let current = current.clone();
            self.push_cancel(&current, false);
        }
    }

    pub(super) fn push_cancel(&mut self, attempt: &Attempt<T>, awaited: bool) {
        self.commands.push_back(Command::Cancel {
            attempt: attempt.id,
            target: attempt.target.clone(),
            awaited,
        });
    }

    /// Returns what the received tokens tell about execution. Tokens prove that the request started, whatever a later
    /// verdict says.
    pub(super) fn transcript_verdict(&self) -> Verdict {
        if self.transcript.position() > 0 { Verdict::MayHaveRun } else { Verdict::NotRun }
    }

    pub(super) fn is_attempting(&self, attempt: AttemptId) -> bool {
        matches!(&self.state, State::Attempting(current)
            if current.id == attempt || !is_mechanism_enabled("drop-late-frames"))
    }
}
