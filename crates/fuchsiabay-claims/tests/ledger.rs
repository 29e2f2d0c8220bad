//! The first valid claim by offset holds its key, and nothing but its own release frees it.

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

fn claims(writer: &str) -> ClaimRecord {
    ClaimRecord::Claim { claim: claim(writer), fingerprint: Fingerprint::of(&[b"body"]) }
}

fn release(writer: &str) -> ClaimRecord {
    ClaimRecord::Release { claim: claim(writer) }
}

fn outcome(writer: &str) -> ClaimRecord {
    let response = Arc::new(Response { status: 200, content_type: String::new(), body: Vec::new() });
    ClaimRecord::Outcome { claim: claim(writer), response }
}

/// Expects the effect of the last record and the holder after it.
fn check(records: &[(u64, ClaimRecord)], effect: RecordEffect, holder: Option<&str>) {
    let mut ledger = ClaimLedger::new(LIMITS);
    ledger.skip_to(0, Timestamp::ZERO);
    let mut last = RecordEffect::Unchanged;
    for (offset, (at, record)) in (0..).zip(records) {
        let record = serde_json::to_value(record).expect("records serialise");
        let at = Timestamp::from_millis(*at);
        last = ledger.apply(&LoggedRecord { offset, at, record: ClaimRecord::parse(&record) });
    }
    let held = ledger.holder(&key(ISSUED)).map(|held| held.claim.writer.instance.as_str());
    assert_eq!((last, held), (effect, holder));
}

macro_rules! cases {
    ($($name:ident: $records:expr => $effect:ident, $holder:expr;)+) => {
        $(#[test] fn $name() { check(&$records, RecordEffect::$effect, $holder); })+
    };
}

cases! {
    first_claim_wins: [(ISSUED, claims("a"))] => Won, Some("a");
    second_claim_loses: [(ISSUED, claims("a")), (ISSUED, claims("b"))] => Lost, Some("a");
    release_frees: [(ISSUED, claims("a")), (ISSUED, release("a"))] => Released, None;
    // A release names its claim, so that a loser cannot free the winner's key.
    release_of_the_loser_frees_nothing: [(ISSUED, claims("a")), (ISSUED, claims("b")), (ISSUED, release("b"))]
        => Unchanged, Some("a");
    repeated_release_frees_nothing: [(ISSUED, claims("a")), (ISSUED, release("a")), (ISSUED, claims("b")), (ISSUED, release("a"))]
        => Unchanged, Some("b");
    // A claim whose append was delayed past its own release must not hold the key for ever.
    release_before_its_claim_voids_it: [(ISSUED, release("a")), (ISSUED, claims("a"))] => Void, None;
    release_after_the_outcome_frees_nothing: [(ISSUED, claims("a")), (ISSUED, outcome("a")), (ISSUED, release("a"))]
        => Unchanged, Some("a");
    outcome_of_the_loser_is_ignored: [(ISSUED, claims("a")), (ISSUED, outcome("b"))] => Unchanged, Some("a");
    // A late append must not become first after retention has dropped the real first.
    claim_at_the_end_of_the_window: [(ISSUED + 1_000, claims("a"))] => Won, Some("a");
    claim_after_the_window_is_void: [(ISSUED + 1_001, claims("a"))] => Void, None;
    claim_far_before_its_issue_is_void: [(ISSUED - 101, claims("a"))] => Void, None;
    old_keys_are_forgotten: [(ISSUED, claims("a")), (ISSUED + 1_501, release("b"))] => Unchanged, None;
}

fn check_key(first: u64, floor: u64, issued_at: u64, now: u64, expected: bool) {
    let mut ledger = ClaimLedger::new(LIMITS);
    ledger.skip_to(first, Timestamp::from_millis(floor));
    let checked = ledger.check_key(&key(issued_at), Timestamp::from_millis(now));
    assert_eq!(checked, if expected { Ok(()) } else { Err(ClaimError::KeyOutsideWindow) });
}

macro_rules! key_cases {
    ($($name:ident: $first:expr, $floor:expr, $issued_at:expr, $now:expr => $expected:expr;)+) => {
        $(#[test] fn $name() { check_key($first, $floor, $issued_at, $now, $expected); })+
    };
}

key_cases! {
    young_key: 0, 0, 10_000, 10_000 => true;
    old_key: 0, 0, 10_000, 11_001 => false;
    key_of_the_future: 0, 0, 10_101, 10_000 => false;
    key_within_the_skew: 0, 0, 10_100, 10_000 => true;
    // The record of an earlier run may be among those that were dropped.
    key_before_the_first_record: 7, 10_000, 10_100, 10_100 => false;
    key_after_the_first_record: 7, 10_000, 10_101, 10_101 => true;
}
