//! The ledger: the first valid claim by offset holds its key until that claim itself is released.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, Generation, IdempotencyKey, Timestamp, WriterId};
use fuchsiabay_claims::{
    Claim, ClaimError, ClaimId, ClaimKey, ClaimLedger, ClaimLimits, ClaimRecord, LoggedRecord, RecordEffect,
    Response,
};

const LIMITS: ClaimLimits = ClaimLimits { window_ms: 1_000, skew_ms: 100, margin_ms: 500 };
const ISSUED: u64 = 10_000;

fn key(issued_at: u64) -> ClaimKey {
    let key = IdempotencyKey::from_parts(Timestamp::from_millis(issued_at), 1);
    ClaimKey { key, workspace: "w".into() }
}

fn claim(writer: &str) -> Claim {
    let writer = WriterId { instance: writer.into(), generation: Generation(1) };
    Claim { key: key(ISSUED), writer, id: ClaimId(1) }
}

fn claim_by(writer: &str) -> ClaimRecord {
    ClaimRecord::Claim { claim: claim(writer), fingerprint: Fingerprint::of(&[b"body"]) }
}

fn release_by(writer: &str) -> ClaimRecord {
    ClaimRecord::Release { claim: claim(writer) }
}

fn outcome_by(writer: &str) -> ClaimRecord {
    let response = Arc::new(Response { status: 200, content_type: String::new(), body: Vec::new() });
    ClaimRecord::Outcome { claim: claim(writer), response }
}

/// Applies `records`, and checks the effect of the last one and the writer that then holds the key.
fn check(records: &[(u64, ClaimRecord)], effect: RecordEffect, holder: Option<&str>) {
    let mut ledger = ClaimLedger::new(LIMITS);
    ledger.skip_to(0, Timestamp::ZERO);
    let mut last = RecordEffect::Unchanged;
    for (offset, (at, record)) in (0..).zip(records) {
        let record = serde_json::to_value(record).expect("records serialize");
        let at = Timestamp::from_millis(*at);
        last = ledger.apply(&LoggedRecord { offset, at, record: ClaimRecord::parse(&record) });
    }
    let found = ledger.holder(&key(ISSUED)).map(|holder| holder.claim.writer.instance.as_str());
    assert_eq!((last, found), (effect, holder));
}

macro_rules! cases {
    ($($name:ident: $records:expr => $effect:ident, $holder:expr;)+) => {
        $(#[test] fn $name() { check(&$records, RecordEffect::$effect, $holder); })+
    };
}

cases! {
    first_claim_wins: [(ISSUED, claim_by("a"))] => Won, Some("a");
    second_claim_loses: [(ISSUED, claim_by("a")), (ISSUED, claim_by("b"))] => Lost, Some("a");
    release_frees_the_key: [(ISSUED, claim_by("a")), (ISSUED, release_by("a"))] => Released, None;
    // Guards against a losing agent that frees the winner's key: a release names its claim.
    release_of_a_losing_claim_frees_nothing:
        [(ISSUED, claim_by("a")), (ISSUED, claim_by("b")), (ISSUED, release_by("b"))]
        => Unchanged, Some("a");
    repeated_release_frees_nothing:
        [(ISSUED, claim_by("a")), (ISSUED, release_by("a")), (ISSUED, claim_by("b")), (ISSUED, release_by("a"))]
        => Unchanged, Some("b");
    // Guards against a key that is held forever by a claim whose append was delayed until after its own release.
    release_before_its_claim_voids_the_claim: [(ISSUED, release_by("a")), (ISSUED, claim_by("a"))] => Void, None;
    release_after_the_outcome_frees_nothing:
        [(ISSUED, claim_by("a")), (ISSUED, outcome_by("a")), (ISSUED, release_by("a"))]
        => Unchanged, Some("a");
    outcome_of_a_losing_claim_is_ignored: [(ISSUED, claim_by("a")), (ISSUED, outcome_by("b"))]
        => Unchanged, Some("a");
    // Guards against a delayed append that becomes the first claim after retention dropped the real first one.
    claim_at_the_end_of_the_window_wins: [(ISSUED + 1_000, claim_by("a"))] => Won, Some("a");
    claim_after_the_window_is_void: [(ISSUED + 1_001, claim_by("a"))] => Void, None;
    claim_before_the_issue_time_minus_the_skew_is_void: [(ISSUED - 101, claim_by("a"))] => Void, None;
    expired_keys_are_evicted: [(ISSUED, claim_by("a")), (ISSUED + 1_501, release_by("b"))] => Unchanged, None;
}

fn check_key(first: u64, first_at: u64, issued_at: u64, now: u64, expected: bool) {
    let mut ledger = ClaimLedger::new(LIMITS);
    ledger.skip_to(first, Timestamp::from_millis(first_at));
    let checked = ledger.check_key(&key(issued_at), Timestamp::from_millis(now));
    assert_eq!(checked, if expected { Ok(()) } else { Err(ClaimError::KeyOutsideWindow) });
}

macro_rules! key_cases {
    ($($name:ident: $first:expr, $first_at:expr, $issued_at:expr, $now:expr => $expected:expr;)+) => {
        $(#[test] fn $name() { check_key($first, $first_at, $issued_at, $now, $expected); })+
    };
}

key_cases! {
    key_within_the_window: 0, 0, 10_000, 10_000 => true;
    key_after_the_window: 0, 0, 10_000, 11_001 => false;
    key_beyond_the_skew: 0, 0, 10_101, 10_000 => false;
    key_within_the_skew: 0, 0, 10_100, 10_000 => true;
    // Guards against a second run whose first claim is among the dropped records.
    key_before_the_first_record: 7, 10_000, 10_100, 10_100 => false;
    key_after_the_first_record: 7, 10_000, 10_101, 10_101 => true;
}
