//! A claimer dispatches only calls whose claim won, and replies `not-run` only once the call can no longer start.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, Generation, IdempotencyKey, Timestamp, WriterId};
use fuchsiabay_claims::{
    BatchId, CallId, ClaimError, ClaimKey, ClaimLimits, ClaimRecord, Claimer, Command, DispatchResult,
    LoggedRecord, Response, Submission,
};

const LIMITS: ClaimLimits = ClaimLimits { window_ms: 60_000, skew_ms: 1_000, margin_ms: 1_000 };
const START: Timestamp = Timestamp::from_millis(1_000_000);

fn writer(instance: &str) -> WriterId {
    WriterId { instance: instance.into(), generation: Generation(1) }
}

fn submission(call: u64, body: &str) -> Submission {
    let key = ClaimKey { key: IdempotencyKey::from_parts(START, 7), workspace: "w".into() };
    let fingerprint = Fingerprint::of(&[body.as_bytes()]);
    Submission { call: CallId(call), key, fingerprint, deadline: START.plus_millis(5_000) }
}

/// The claimer under test (agent `a`), a rival claimer (agent `b`) and their log. See `step` for the names of steps.
struct Harness {
    claimer: Claimer,
    rival: Claimer,
    log: Vec<LoggedRecord>,
    now: Timestamp,
    batch: u64,
    pending: Vec<ClaimRecord>,
    commands: Vec<String>,
}

impl Harness {
    fn step(&mut self, step: &str) {
        let (name, argument) = step.split_once('=').unwrap_or((step, "body"));
        match name {
            "page" => self.claimer.apply_page(self.now, 0, &self.log),
            "gap" => self.claimer.apply_page(self.now, 1_000, &[]),
            "submit" => self.claimer.submit(self.now, submission(1, argument)),
            "again" => self.claimer.submit(self.now, submission(2, argument)),
            "stored" => self.store_pending(),
            "ack" => self.claimer.append_acknowledged(self.now, BatchId(self.batch)),
            "refused" => self.claimer.append_refused(self.now, BatchId(self.batch)),
            "unknown" => self.claimer.append_unknown(self.now, BatchId(self.batch)),
            "down" => self.claimer.log_unavailable(self.now),
            "cancel" => drop(self.claimer.cancel(self.now, CallId(1), ClaimError::Cancelled)),
            "responded" => {
                self.claimer.dispatch_finished(self.now, CallId(1), DispatchResult::Responded(response()))
            }
            "not_started" => self.claimer.dispatch_finished(self.now, CallId(1), DispatchResult::NotStarted),
            "lost" => self.claimer.dispatch_finished(self.now, CallId(1), DispatchResult::Unknown),
            "wait" => self.wait(argument.parse().expect("milliseconds")),
            "rival" => self.rival_claims(),
            "rival_done" => self.finish_rival_call(DispatchResult::Responded(response())),
            "rival_frees" => self.finish_rival_call(DispatchResult::NotStarted),
            _ => panic!("unknown step {name}"),
        }
        for command in self.claimer.take_commands() {
            self.record(command);
        }
    }

    fn record(&mut self, command: Command) {
        match command {
            Command::Append { batch, records } => {
                self.batch = batch.0;
                let kinds: Vec<_> = records.iter().map(kind).collect();
                self.commands.push(format!("append {}", kinds.join("+")));
                self.pending = records;
            }
            Command::Dispatch { call } => self.commands.push(format!("dispatch {}", call.0)),
            Command::Reply { call, reply } => {
                let result = reply.result.map_or_else(|error| format!("{error:?}"), |r| r.status.to_string());
                self.commands.push(format!("reply {} {} {result}", call.0, reply.verdict));
            }
        }
    }

    fn store_pending(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        self.append(pending);
    }

    fn append(&mut self, records: Vec<ClaimRecord>) {
        for record in records {
            let offset = self.log.len() as u64;
            self.log.push(LoggedRecord { offset, at: self.now, record: Some(record) });
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.plus_millis(ms);
        self.claimer.tick(self.now);
    }

    fn rival_claims(&mut self) {
        self.rival.apply_page(self.now, 0, &self.log);
        self.rival.submit(self.now, submission(9, "body"));
        self.flush_rival();
        self.rival.apply_page(self.now, 0, &self.log);
        self.rival.take_commands();
    }

    fn finish_rival_call(&mut self, result: DispatchResult) {
        self.rival.dispatch_finished(self.now.plus_millis(10), CallId(9), result);
        self.flush_rival();
    }

    fn flush_rival(&mut self) {
        for command in self.rival.take_commands() {
            if let Command::Append { batch, records } = command {
                self.append(records);
                self.rival.append_acknowledged(self.now, batch);
            }
        }
    }
}

fn kind(record: &ClaimRecord) -> &'static str {
    match record {
        ClaimRecord::Claim { .. } => "claim",
        ClaimRecord::Outcome { .. } => "outcome",
        ClaimRecord::Release { .. } => "release",
    }
}

fn response() -> Arc<Response> {
    Arc::new(Response { status: 201, content_type: "text/plain".into(), body: b"done".to_vec() })
}

fn check(steps: &str, expected: &[&str]) {
    let mut harness = Harness {
        claimer: Claimer::new(writer("a"), LIMITS),
        rival: Claimer::new(writer("b"), LIMITS),
        log: Vec::new(),
        now: START,
        batch: 0,
        pending: Vec::new(),
        commands: Vec::new(),
    };
    for step in steps.split_whitespace() {
        harness.step(step);
    }
    assert_eq!(harness.commands, expected);
}

macro_rules! cases {
    ($($name:ident: $steps:literal => [$($expected:literal),*];)+) => {
        $(#[test] fn $name() { check($steps, &[$($expected),*]); })+
    };
}

cases! {
    winner_dispatches_and_records_the_outcome: "page submit stored ack page responded wait=10" =>
        ["append claim", "dispatch 1", "reply 1 ran 201", "append outcome"];
    // Guards against a dispatch on the acknowledgement alone, which does not tell which claim is first.
    acknowledged_claim_has_not_won: "page submit rival stored ack" => ["append claim"];
    nothing_is_claimed_before_the_first_page: "submit" => ["reply 1 not-run LogUnavailable"];
    log_outage_refuses_calls_at_once: "page down submit" => ["reply 1 not-run LogUnavailable"];
    refused_append_needs_no_release: "page submit refused page wait=20" =>
        ["append claim", "reply 1 not-run LogUnavailable"];
    // Guards against a dispatch after the reply `not-run`: an append with an unknown result may reach the log late.
    unknown_append_is_never_dispatched: "page submit unknown stored page wait=20" =>
        ["append claim", "reply 1 not-run LogUnavailable", "append release"];
    unknown_release_is_repeated: "page submit unknown page wait=20 unknown page wait=20" =>
        ["append claim", "reply 1 not-run LogUnavailable", "append release", "append release"];
    read_back_before_the_append_result_is_enough: "page submit stored page unknown responded" =>
        ["append claim", "dispatch 1", "reply 1 ran 201"];
    held_key_is_not_run_again: "page rival page submit wait=2000" => ["reply 1 may-have-run ClaimHeld"];
    loser_replies_with_the_recorded_outcome: "page submit rival rival_done stored ack page" =>
        ["append claim", "reply 1 ran 201"];
    loser_claims_again_after_a_release:
        "page submit rival stored ack page rival_frees page wait=10 ack stored page" =>
        ["append claim", "append claim", "dispatch 1"];
    key_with_another_body_is_refused: "page rival page submit=other" => ["reply 1 not-run KeyReused"];
    second_call_on_the_same_agent_waits_for_the_outcome:
        "page submit stored ack page again responded wait=10 stored ack page" =>
        ["append claim", "dispatch 1", "reply 1 ran 201", "append outcome", "reply 2 ran 201"];
    deadline_before_the_win_prevents_the_dispatch: "page submit ack wait=5000 stored ack page" =>
        ["append claim", "reply 1 not-run DeadlinePassed", "append release"];
    cancel_before_the_win_prevents_the_dispatch: "page submit cancel ack stored page wait=10" =>
        ["append claim", "reply 1 not-run Cancelled", "append release"];
    cancel_after_the_dispatch_has_no_effect: "page submit stored ack page cancel lost" =>
        ["append claim", "dispatch 1", "reply 1 may-have-run BackendLost"];
    call_that_was_not_started_releases_its_key: "page submit stored ack page not_started wait=10" =>
        ["append claim", "dispatch 1", "reply 1 not-run BackendLost", "append release"];
    // Guards against a second run: the dropped records may contain an earlier claim on the key.
    gap_fails_pending_claims: "page submit ack gap wait=10" =>
        ["append claim", "reply 1 not-run LogUnavailable", "append release"];
}
