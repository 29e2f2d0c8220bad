//! The request machine upholds its invariants whatever the agents, their connections and the caller do.

use fuchsiabay_base::{AttemptId, Generation, Timestamp, Verdict, WriterId};
use fuchsiabay_routing::{
    Command, Dispatch, Event, Failure, FailureKind, NoServer, QuarantineStatus, RequestKind, RequestMachine,
};
use fuchsiabay_wire::{AttemptError, End, PlainResponse, RefusalReason, Tokens};
use quickcheck::{Gen, QuickCheck};

/// Picks the servers "s1", "s2", … in order and has a fixed retry budget.
struct FakeDispatch {
    servers: u64,
    retries: u32,
    attempts: u64,
    crashes: u32,
}

impl Dispatch for FakeDispatch {
    type Target = WriterId;

    fn id(target: &WriterId) -> &WriterId {
        target
    }

    fn pick_server(&mut self, tried: &[WriterId], _now: Timestamp) -> Result<WriterId, NoServer> {
        let server = |n| WriterId { instance: format!("s{n}").as_str().into(), generation: Generation(n) };
        let free = (1..=self.servers).map(server).find(|id| !tried.contains(id));
        free.ok_or(NoServer { retry_at: None })
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        AttemptId(self.attempts)
    }

    fn take_retry(&mut self, _now: Timestamp) -> bool {
        self.retries = self.retries.saturating_sub(1);
        self.retries > 0
    }

    fn backoff(&mut self, now: Timestamp) -> Timestamp {
        now.plus_millis(1)
    }

    fn report_crash(&mut self, _server: &WriterId, _now: Timestamp) -> QuarantineStatus {
        self.crashes += 1;
        if self.crashes >= 2 {
            QuarantineStatus::Quarantined { until: Timestamp::ZERO }
        } else {
            QuarantineStatus::Suspect
        }
    }
}

/// An event for the current attempt or, for late frames, for the attempt with the given id.
#[derive(Clone, Debug)]
enum Step {
    Tokens(u32, u16, &'static str),
    LateTokens(u64, u32, &'static str),
    End(u32),
    LateEnd(u64, u32),
    Error(AttemptError, Verdict),
    Response,
    Refused(RefusalReason),
    NotSent,
    NotSentAt(Timestamp),
    TooLarge,
    Unanswered,
    Lost,
    Cancelled(Verdict),
    Deadline,
    CallerGone,
}
use Step::*;

const DEADLINE: Timestamp = Timestamp::from_millis(1_000);
const CHAT: (RequestKind, bool) = (RequestKind::Generate, true);
const LOOK_UP: (RequestKind, bool) = (RequestKind::Plain, true);
const LOT_RELEASE: (RequestKind, bool) = (RequestKind::Plain, false);

fn apply(machine: &mut RequestMachine<WriterId>, fake: &mut FakeDispatch, step: &Step) {
    let now = Timestamp::ZERO;
    let attempt = AttemptId(fake.attempts);
    let end = |attempt, verdict, total_tokens, error, response| End {
        attempt,
        verdict,
        total_tokens,
        error,
        response,
    };
    let tokens = |attempt, first, count, text: &str| Tokens { attempt, first, count, text: text.into() };
    let response = PlainResponse { status: 200, content_type: String::new(), body: b"released".to_vec() };
    match step {
        Tokens(first, count, text) => {
            machine.handle(Event::Tokens(&tokens(attempt, *first, *count, text)), fake, now);
        }
        LateTokens(id, first, text) => {
            machine.handle(Event::Tokens(&tokens(AttemptId(*id), *first, 1, text)), fake, now);
        }
        End(total) => {
            machine.handle(Event::End(&end(attempt, Verdict::Ran, *total, None, None)), fake, now);
        }
        LateEnd(id, total) => {
            machine.handle(Event::End(&end(AttemptId(*id), Verdict::Ran, *total, None, None)), fake, now);
        }
        Error(error, verdict) => {
            machine.handle(Event::End(&end(attempt, *verdict, 0, Some(*error), None)), fake, now);
        }
        Response => {
            machine.handle(Event::End(&end(attempt, Verdict::Ran, 0, None, Some(response))), fake, now);
        }
        Refused(reason) => {
            machine.handle(Event::Refused { attempt, reason: *reason, retry_at: now }, fake, now);
        }
        NotSent => machine.handle(Event::NotSent { attempt }, fake, now),
        NotSentAt(time) => machine.handle(Event::NotSent { attempt }, fake, *time),
        TooLarge => machine.handle(Event::TooLarge { attempt }, fake, now),
        Unanswered => machine.handle(Event::Unanswered { attempt }, fake, now),
        Lost => machine.handle(Event::ConnectionLost { attempt }, fake, now),
        Cancelled(verdict) => {
            machine.handle(Event::Cancelled { attempt, verdict: *verdict }, fake, now);
        }
        Deadline => machine.handle(Event::Deadline, fake, now),
        CallerGone => machine.handle(Event::CallerGone, fake, now),
    }
}

/// Executes the commands and logs them: `submit 1@0` is attempt 1 from position 0, `!` marks one that runs alone.
fn execute_commands(machine: &mut RequestMachine<WriterId>, fake: &mut FakeDispatch, log: &mut Vec<String>) {
    while let Some(command) = machine.next_command() {
        match command {
            Command::Submit { attempt, resume_from, solo, .. } => {
                log.push(format!("submit {attempt}@{resume_from}{}", if solo { "!" } else { "" }));
            }
            Command::Wait { until } => machine.handle(Event::WaitElapsed, fake, until),
            Command::Cancel { attempt, .. } => log.push(format!("cancel {attempt}")),
            Command::Write { from } => log.push(machine.transcript().text()[from..].to_owned()),
            Command::ClearSuspicion => log.push("clear".to_owned()),
            Command::Finish => log.push("finish".to_owned()),
            Command::Fail(Failure { verdict, kind, truncated, .. }) => {
                let kind = match kind {
                    FailureKind::Refused(reason) => format!("{reason:?}"),
                    FailureKind::Attempt(error) => format!("{error:?}"),
                    kind => format!("{kind:?}"),
                };
                log.push(format!("fail {kind} {verdict}{}", if truncated { " truncated" } else { "" }));
            }
        }
    }
}

fn check((kind, idempotent): (RequestKind, bool), steps: &[Step], expected: &str) {
    let mut fake = FakeDispatch { servers: 3, retries: 10, attempts: 0, crashes: 0 };
    let mut machine = RequestMachine::new(kind, idempotent, false, DEADLINE);
    let mut log = Vec::new();
    machine.handle(Event::Start, &mut fake, Timestamp::ZERO);
    execute_commands(&mut machine, &mut fake, &mut log);
    for step in steps {
        apply(&mut machine, &mut fake, step);
        execute_commands(&mut machine, &mut fake, &mut log);
    }
    assert_eq!(log.join(", "), expected);
}

macro_rules! cases {
    ($($name:ident: $kind:expr, [$($step:expr),* $(,)?] => $expected:expr;)+) => {
        $(#[test] fn $name() { check($kind, &[$($step),*], $expected); })+
    };
}

// Each case is named after a situation that must not lead to a wrong, repeated or silently incomplete response.
cases! {
    complete_response: CHAT, [Tokens(0, 2, "ab"), Tokens(2, 1, "c"), End(3)] => "submit 1@0, ab, c, finish";
    repeated_frame: CHAT, [Tokens(0, 2, "ab"), Tokens(0, 2, "ab"), End(2)] => "submit 1@0, ab, finish";
    repeated_prefix: CHAT, [Tokens(0, 2, "ab"), Tokens(0, 3, "abc"), End(3)] => "submit 1@0, ab, c, finish";
    mismatching_prefix: CHAT, [Tokens(0, 2, "ab"), Tokens(0, 3, "xyz")]
        => "submit 1@0, ab, cancel 1, submit 2@2";
    gap: CHAT, [Tokens(0, 1, "a"), Tokens(2, 1, "c"), Tokens(1, 1, "b"), End(2)]
        => "submit 1@0, a, cancel 1, submit 2@1, b, finish";
    lost_mid_stream: CHAT, [Tokens(0, 1, "a"), Lost, Tokens(1, 1, "b"), End(2)]
        => "submit 1@0, a, submit 2@1, b, finish";
    late_frames: CHAT, [Tokens(0, 1, "a"), Lost, LateTokens(1, 1, "x"), LateEnd(1, 1), Tokens(1, 1, "b"), End(2)]
        => "submit 1@0, a, submit 2@1, b, finish";
    end_without_last_tokens: CHAT, [Tokens(0, 1, "a"), End(2), Tokens(1, 1, "b"), End(2)]
        => "submit 1@0, a, submit 2@1, b, finish";
    end_with_fewer_tokens: CHAT, [Tokens(0, 2, "ab"), End(1)]
        => "submit 1@0, ab, fail Protocol may-have-run truncated";
    multibyte_text: CHAT, [Tokens(0, 1, "é"), End(1)] => "submit 1@0, é, finish";
    deadline_before_run: CHAT, [Deadline, Cancelled(Verdict::NotRun)]
        => "submit 1@0, cancel 1, fail DeadlinePassed not-run";
    deadline_after_possible_run: CHAT, [Deadline, Cancelled(Verdict::MayHaveRun)]
        => "submit 1@0, cancel 1, fail DeadlinePassed may-have-run";
    deadline_mid_stream: CHAT, [Tokens(0, 1, "a"), Deadline, Tokens(1, 1, "b")]
        => "submit 1@0, a, cancel 1, fail DeadlinePassed may-have-run truncated";
    tokens_after_caller_gone: CHAT, [CallerGone, Tokens(0, 1, "a"), End(1)]
        => "submit 1@0, cancel 1, fail CallerGone may-have-run";
    crash_is_retried_alone: CHAT, [Error(AttemptError::BackendLost, Verdict::MayHaveRun), End(0)]
        => "submit 1@0, submit 2@0!, clear, finish";
    second_crash: CHAT, [
        Error(AttemptError::BackendLost, Verdict::MayHaveRun),
        Error(AttemptError::BackendLost, Verdict::MayHaveRun),
    ] => "submit 1@0, submit 2@0!, fail Quarantined may-have-run";
    not_run_after_may_have_run: LOOK_UP, [Lost, Refused(RefusalReason::LogUnavailable)]
        => "submit 1@0, submit 2@0, fail LogUnavailable may-have-run";
    look_up_lost: LOOK_UP, [Lost, Response] => "submit 1@0, submit 2@0, finish";
    look_up_unanswered: LOOK_UP, [Unanswered, Response] => "submit 1@0, cancel 1, submit 2@0, finish";
    tokens_for_plain: LOOK_UP, [Tokens(0, 1, "a"), Response] => "submit 1@0, cancel 1, submit 2@0, finish";
    ran_without_response: LOOK_UP, [End(0)] => "submit 1@0, fail Protocol ran";
    lot_release_lost: LOT_RELEASE, [Lost, Response] => "submit 1@0, fail ConnectionLost may-have-run";
    lot_release_unanswered: LOT_RELEASE, [Unanswered]
        => "submit 1@0, cancel 1, fail ConnectionLost may-have-run";
    lot_release_not_sent: LOT_RELEASE, [NotSent, Response] => "submit 1@0, submit 2@0, finish";
    not_sent_until_the_deadline: CHAT, [NotSentAt(DEADLINE)] => "submit 1@0, fail DeadlinePassed not-run";
    too_large_for_every_agent: CHAT, [TooLarge] => "submit 1@0, fail TooLarge not-run";
    lot_release_handed_back: LOT_RELEASE, [Error(AttemptError::Draining, Verdict::NotRun), Response]
        => "submit 1@0, submit 2@0, finish";
    lot_release_refused: LOT_RELEASE, [Refused(RefusalReason::QueueFull), Response]
        => "submit 1@0, submit 2@0, finish";
    lot_release_without_log: LOT_RELEASE, [Refused(RefusalReason::LogUnavailable)]
        => "submit 1@0, fail LogUnavailable not-run";
    lot_release_failed: LOT_RELEASE, [Error(AttemptError::BackendError, Verdict::MayHaveRun)]
        => "submit 1@0, fail BackendError may-have-run";
    refused_everywhere: CHAT, [
        Refused(RefusalReason::QueueFull),
        Refused(RefusalReason::QueueFull),
        Refused(RefusalReason::QueueFull),
    ] => "submit 1@0, submit 2@0, submit 3@0, fail QueueFull not-run";
}

/// Returns whether no attempt of a non-idempotent request follows one that may have run, for any order of events.
fn check_at_most_once(choices: Vec<u8>) -> bool {
    let steps = [
        Response,
        Refused(RefusalReason::QueueFull),
        NotSent,
        Unanswered,
        Lost,
        Error(AttemptError::Draining, Verdict::NotRun),
        Error(AttemptError::BackendLost, Verdict::MayHaveRun),
        Deadline,
        Cancelled(Verdict::NotRun),
        CallerGone,
    ];
    let mut fake = FakeDispatch { servers: 20, retries: 100, attempts: 0, crashes: 0 };
    let mut machine = RequestMachine::new(RequestKind::Plain, false, false, DEADLINE);
    let (mut log, mut may_have_run) = (Vec::new(), false);
    machine.handle(Event::Start, &mut fake, Timestamp::ZERO);
    execute_commands(&mut machine, &mut fake, &mut log);
    for choice in choices {
        let step = &steps[usize::from(choice) % steps.len()];
        let before = machine.attempts();
        apply(&mut machine, &mut fake, step);
        execute_commands(&mut machine, &mut fake, &mut log);
        may_have_run |= matches!(step, Unanswered | Lost | Response | Error(_, Verdict::MayHaveRun));
        if may_have_run && machine.attempts() > before {
            return false;
        }
    }
    log.iter().filter(|line| line.starts_with("fail") || *line == "finish").count() <= 1
}

#[test]
fn at_most_once_in_any_order() {
    let property: fn(Vec<u8>) -> bool = check_at_most_once;
    QuickCheck::new().tests(2000).rng(Gen::from_size_and_seed(12, 1)).quickcheck(property);
}
