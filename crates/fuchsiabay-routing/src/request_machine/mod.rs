//! The state machine of one request at an entry instance.

mod completion;

use std::collections::VecDeque;

use fuchsiabay_base::{AttemptId, Timestamp, Verdict, WriterId, invariant, is_mechanism_enabled};
use fuchsiabay_wire::{AttemptError, End, PlainResponse, RefusalReason, Tokens};

use crate::{Failure, FailureKind, NoServer, QuarantineStatus, Transcript};

/// Maximum number of attempts per request. A request that fails this often is expected to fail everywhere.
const MAX_ATTEMPTS: u32 = 8;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Tokens of a model.
    Generate,
    /// The response of a plain service.
    Plain,
}

/// The operations that a [`RequestMachine`] needs from the entry instance that runs it.
pub trait Dispatch {
    /// A backend server as a target.
    type Target: Clone;

    /// Returns the instance and incarnation of the target.
    fn id(target: &Self::Target) -> &WriterId;

    /// Picks a server that is not in `tried`.
    ///
    /// # Errors
    ///
    /// Fails when there is no such server.
    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Self::Target, NoServer>;

    /// Returns an attempt id that this instance has never used.
    fn next_attempt(&mut self) -> AttemptId;

    /// Takes one retry from the retry budget. Returns whether one was left.
    fn take_retry(&mut self, now: Timestamp) -> bool;

    /// Returns when the next attempt may start after a failure.
    fn backoff(&mut self, now: Timestamp) -> Timestamp;

    /// Reports that `server` crashed while it ran the request, and returns whether the request may still run.
    fn report_crash(&mut self, server: &WriterId, now: Timestamp) -> QuarantineStatus;
}

/// An event that concerns the request.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The request was accepted from the caller.
    Start,
    /// The agent refused the attempt.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why it was refused.
        reason: RefusalReason,
        /// When a retry may succeed.
        retry_at: Timestamp,
    },
    /// The attempt was certainly never sent.
    NotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt exceeds the frame limit and was never sent.
    TooLarge {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The agent did not reply in time, but its connection is still open.
    Unanswered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The connection to the agent was lost, and the attempt may have been sent.
    ConnectionLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tokens arrived.
    Tokens(&'a Tokens),
    /// The attempt ended.
    End(&'a End),
    /// The wait requested by [`Command::Wait`] is over.
    WaitElapsed,
    /// The agent replied to the cancellation, or the wait for its reply timed out.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the attempt may have run.
        verdict: Verdict,
    },
    /// The caller's deadline passed.
    Deadline,
    /// The caller closed its connection.
    CallerGone,
}

/// An instruction to the entry instance that runs the [`RequestMachine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<T> {
    /// Submit the request as a new attempt.
    Submit {
        /// The attempt.
        attempt: AttemptId,
        /// The server to submit to.
        target: T,
        /// The position to resume at. The text before it is [`RequestMachine::transcript`].
        resume_from: u32,
        /// Whether the attempt must run alone.
        solo: bool,
    },
    /// Wait, then report [`Event::WaitElapsed`].
    Wait {
        /// The end of the wait.
        until: Timestamp,
    },
    /// Tell the agent to cancel the attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The server that the attempt was submitted to.
        target: T,
        /// Whether the reply must be reported as [`Event::Cancelled`].
        awaited: bool,
    },
    /// Write the transcript from this byte offset to the caller.
    Write {
        /// The byte offset.
        from: usize,
    },
    /// The request ran to completion alone, so it did not cause the earlier crash.
    ClearSuspicion,
    /// The response is complete.
    Finish,
    /// The request failed.
    Fail(Failure),
}

#[derive(Clone, Debug)]
enum State<T> {
    New,
    Attempting(Attempt<T>),
    Waiting,
    Cancelling(Attempt<T>),
    Done,
}

#[derive(Clone, Debug)]
struct Attempt<T> {
    id: AttemptId,
    target: T,
    solo: bool,
}

/// The state machine of one request: events go in, commands come out.
///
/// Frames of any attempt other than the current one are dropped, so that late or repeated frames of an abandoned
/// attempt never reach the caller.
#[derive(Clone, Debug)]
pub struct RequestMachine<T> {
    kind: RequestKind,
    idempotent: bool,
    suspect: bool,
    deadline: Timestamp,
    state: State<T>,
    transcript: Transcript,
    response: Option<PlainResponse>,
    tried: Vec<WriterId>,
    attempts: u32,
    verdict: Verdict,
    dropped_frames: u64,
    commands: VecDeque<Command<T>>,
}

impl<T: Clone> RequestMachine<T> {
    /// Creates the machine of a request. No attempt is submitted at or after `deadline`, and a `suspect` runs alone.
    pub fn new(kind: RequestKind, idempotent: bool, suspect: bool, deadline: Timestamp) -> Self {
        Self {
            kind,
            idempotent,
            suspect,
            deadline,
            state: State::New,
            transcript: Transcript::default(),
            response: None,
            tried: Vec::new(),
            attempts: 0,
            verdict: Verdict::NotRun,
            dropped_frames: 0,
            commands: VecDeque::new(),
        }
    }

    /// Returns the part of the response that has arrived.
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Takes the response of a plain service after [`Command::Finish`].
    pub fn take_response(&mut self) -> Option<PlainResponse> {
        self.response.take()
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the number of dropped frames of abandoned attempts.
    pub fn dropped_frames(&self) -> u64 {
        self.dropped_frames
    }

    /// Returns the attempt in flight and its target.
    pub fn in_flight(&self) -> Option<(AttemptId, &T)> {
        match &self.state {
            State::Attempting(attempt) | State::Cancelling(attempt) => Some((attempt.id, &attempt.target)),
            State::New | State::Waiting | State::Done => None,
        }
    }

    /// Returns whether the request has ended.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Removes and returns the oldest command.
    pub fn next_command(&mut self) -> Option<Command<T>> {
        self.commands.pop_front()
    }

    /// Handles `event` and queues the resulting commands.
    pub fn handle<D: Dispatch<Target = T>>(&mut self, event: Event<'_>, cx: &mut D, now: Timestamp) {
        match event {
            Event::Start if matches!(self.state, State::New) => self.submit(None, cx, now),
            Event::WaitElapsed if matches!(self.state, State::Waiting) => self.submit(None, cx, now),
            Event::Start | Event::WaitElapsed => {}
            Event::Refused { attempt, reason, retry_at } => {
                self.on_attempt_failed(
                    attempt,
                    FailureKind::Refused(reason),
                    Verdict::NotRun,
                    Some(retry_at),
                    cx,
                    now,
                );
            }
            Event::NotSent { attempt } => {
                self.on_attempt_failed(attempt, FailureKind::ConnectionLost, Verdict::NotRun, None, cx, now);
            }
            Event::TooLarge { attempt } => {
                self.on_attempt_failed(attempt, FailureKind::TooLarge, Verdict::NotRun, None, cx, now);
            }
            Event::Unanswered { attempt } => {
                self.cancel_current(attempt);
                self.on_attempt_failed(
                    attempt,
                    FailureKind::ConnectionLost,
                    Verdict::MayHaveRun,
                    None,
                    cx,
                    now,
                );
            }
            Event::ConnectionLost { attempt } => {
                self.on_attempt_failed(
                    attempt,
                    FailureKind::ConnectionLost,
                    Verdict::MayHaveRun,
                    None,
                    cx,
                    now,
                );
            }
            Event::Tokens(tokens) => self.on_tokens(tokens, cx, now),
            Event::End(end) => self.on_end(end, cx, now),
            Event::Cancelled { attempt, verdict } => self.on_cancelled(attempt, verdict),
            Event::Deadline => self.on_deadline(),
            Event::CallerGone => self.on_caller_gone(),
        }
    }

    fn on_tokens<D: Dispatch<Target = T>>(&mut self, tokens: &Tokens, cx: &mut D, now: Timestamp) {
        if !self.is_attempting(tokens.attempt) {
            self.dropped_frames += 1;
            return;
        }
        let appended = match self.kind {
            RequestKind::Generate => self.transcript.append(tokens.first, tokens.count, &tokens.text).ok(),
            RequestKind::Plain => None,
        };
        match appended {
            Some(from) if from == self.transcript.text().len() => {}
            Some(from) => self.commands.push_back(Command::Write { from }),
            None => {
                self.cancel_current(tokens.attempt);
                self.on_attempt_failed(
                    tokens.attempt,
                    FailureKind::Protocol,
                    Verdict::MayHaveRun,
                    None,
                    cx,
                    now,
                );
            }
        }
    }

    fn on_end<D: Dispatch<Target = T>>(&mut self, end: &End, cx: &mut D, now: Timestamp) {
        if matches!(&self.state, State::Cancelling(attempt) if attempt.id == end.attempt) {
            return self.on_cancelled(end.attempt, end.verdict);
        }
        if !self.is_attempting(end.attempt) {
            self.dropped_frames += 1;
            return;
        }
        if let Some(error) = end.error {
            return self.on_attempt_error(end, error, cx, now);
        }
        if end.verdict != Verdict::Ran {
            return self.on_attempt_failed(
                end.attempt,
                FailureKind::Protocol,
                end.verdict.max(self.transcript_verdict()),
                None,
                cx,
                now,
            );
        }
        match self.kind {
            RequestKind::Plain => self.finish_plain(end),
            RequestKind::Generate if end.total_tokens == self.transcript.position() => self.finish(),
            RequestKind::Generate if !is_mechanism_enabled("total-tokens") => self.finish(),
            // The caller has more tokens than the agent reports, which resuming cannot repair.
            RequestKind::Generate if end.total_tokens < self.transcript.position() => {
                self.fail(FailureKind::Protocol, Verdict::MayHaveRun, None);
            }
            RequestKind::Generate => {
                self.on_attempt_failed(
                    end.attempt,
                    FailureKind::Protocol,
                    Verdict::MayHaveRun,
                    None,
                    cx,
                    now,
                );
            }
        }
    }

    fn on_attempt_error<D: Dispatch<Target = T>>(
        &mut self,
        end: &End,
        error: AttemptError,
        cx: &mut D,
        now: Timestamp,
    ) {
        let kind = FailureKind::Attempt(error);
        if error == AttemptError::BackendLost
            && end.verdict != Verdict::NotRun
            && let State::Attempting(attempt) = &self.state
        {
            self.suspect = true;
            let status = cx.report_crash(D::id(&attempt.target), now);
            if let QuarantineStatus::Quarantined { until: _ } = status {
                return self.fail(FailureKind::Quarantined, end.verdict, None);
            }
        }
        self.on_attempt_failed(end.attempt, kind, end.verdict, None, cx, now);
    }

    fn on_attempt_failed<D: Dispatch<Target = T>>(
        &mut self,
        attempt: AttemptId,
        kind: FailureKind,
        verdict: Verdict,
        retry_at: Option<Timestamp>,
        cx: &mut D,
        now: Timestamp,
    ) {
        if !self.is_attempting(attempt) {
            return;
        }
        let is_harmless = match verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.idempotent || !is_mechanism_enabled("retry-when-harmless"),
            Verdict::Ran => false,
        };
        let retry = is_harmless
            && !kind.is_final()
            && self.attempts < MAX_ATTEMPTS
            && (kind.is_hand_back() || cx.take_retry(now));
        if !retry {
            return self.fail(kind, verdict, retry_at);
        }
        self.verdict = self.verdict.max(verdict);
        // Another server is tried immediately if this one did not start the attempt. Otherwise the backoff keeps all
        // requests that failed for a common reason from being retried at the same moment.
        if verdict == Verdict::NotRun {
            return self.submit(Some((kind, retry_at)), cx, now);
        }
        self.wait(cx, now);
    }

    fn submit<D: Dispatch<Target = T>>(
        &mut self,
        previous_failure: Option<(FailureKind, Option<Timestamp>)>,
        cx: &mut D,
        now: Timestamp,
    ) {
        if now >= self.deadline {
            return self.fail(FailureKind::DeadlinePassed, Verdict::NotRun, None);
        }
        let target = match cx.pick_server(&self.tried, now) {
            Ok(target) => target,
            Err(no_server) => return self.on_no_server(no_server, previous_failure, cx, now),
        };
        let id = cx.next_attempt();
        invariant!(
            "retry-is-harmless",
            self.idempotent
                || self.verdict == Verdict::NotRun
                || !is_mechanism_enabled("retry-when-harmless"),
            "attempt {id} of a non-idempotent request follows one that may have run"
        );
        self.attempts += 1;
        self.tried.push(D::id(&target).clone());
        self.transcript.mark_resumed();
        self.commands.push_back(Command::Submit {
            attempt: id,
            target: target.clone(),
            resume_from: self.transcript.position(),
            solo: self.suspect && is_mechanism_enabled("suspects-alone"),
        });
        self.state = State::Attempting(Attempt { id, target, solo: self.suspect });
    }

    fn on_no_server<D: Dispatch<Target = T>>(
        &mut self,
        no_server: NoServer,
        previous_failure: Option<(FailureKind, Option<Timestamp>)>,
        cx: &mut D,
        now: Timestamp,
    ) {
        // A caller that already has part of the response waits until a server is available again, because a truncated
        // response is worth less to it than a late one.
        if self.transcript.position() > 0 && self.attempts < MAX_ATTEMPTS {
            self.attempts += 1;
            self.tried.clear();
            return self.wait(cx, now);
        }
        let (kind, retry_at) = previous_failure.unwrap_or((FailureKind::NoServer, no_server.retry_at));
        self.fail(kind, Verdict::NotRun, retry_at);
    }

    fn wait<D: Dispatch<Target = T>>(&mut self, cx: &mut D, now: Timestamp) {
        self.state = State::Waiting;
        self.commands.push_back(Command::Wait { until: cx.backoff(now) });
    }
}
