//! The reducer: every reader of the same log computes the same configuration, whichever records it missed.

use fuchsiabay_base::Timestamp;
use fuchsiabay_config::{
    ConfigRecord, ConfigReducer, Document, Millis, PublishId, PublishOutcome, PublishTracker, RecordEffect,
    VersionedConfig,
};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

fn document(queue_limit: u32) -> Document {
    let preset = json!({
        "queue_limit": queue_limit, "long_share_percent": 50, "ageing_ms": 1, "long_work_tokens": 1,
        "max_output_tokens": 1, "retry_budget_percent": 10, "spill_over_ms": 1, "quarantine_crashes": 2,
        "quarantine_ms": 1, "default_deadline_ms": 1, "drain_ms": 1
    });
    serde_json::from_value(json!({
        "services": {"writer": {"kind": "model"}}, "workspaces": {},
        "presets": {"ordinary": preset, "peak": preset}, "initial_preset": "ordinary"
    }))
    .expect("the document is complete")
}

fn publish(id: &str, based_on: u64, queue_limit: u32) -> Value {
    to_json(&ConfigRecord::publish(PublishId::new(id), based_on, &document(queue_limit)))
}

fn switch(id: &str, based_on: u64, preset: &str) -> Value {
    to_json(&ConfigRecord::PresetSwitch { publish: PublishId::new(id), based_on, preset: preset.to_owned() })
}

fn snapshot(version: u64, queue_limit: u32, as_of: u64) -> Value {
    let state = VersionedConfig::new(version, document(queue_limit), "ordinary".to_owned()).map(Box::new);
    to_json(&ConfigRecord::Snapshot { state, as_of })
}

fn to_json(record: &ConfigRecord) -> Value {
    serde_json::to_value(record).expect("records serialize")
}

fn reduce(first: u64, records: &[Value]) -> ConfigReducer {
    let mut reducer = ConfigReducer::default();
    reducer.skip_to(first);
    for (offset, record) in (first..).zip(records) {
        reducer.apply_raw(offset, Timestamp::from_millis(offset * 1_000), record);
    }
    reducer
}

/// Reduces `records`, and checks the version, preset name and queue limit in force.
fn check(first: u64, records: &[Value], expected: Option<(u64, &str, u32)>) {
    let reducer = reduce(first, records);
    let found =
        reducer.in_force().map(|state| (state.version, state.preset_name.as_str(), state.preset.queue_limit));
    assert_eq!(found, expected);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $first:expr, $records:expr => $expected:expr;)+) => {
        $($(#[$doc])* #[test] fn $name() { check($first, &$records, $expected); })+
    };
}

cases! {
    empty_log_has_no_configuration: 0, [] => None;
    first_publish_is_accepted: 0, [publish("a", 0, 7)] => Some((1, "ordinary", 7));
    // Guards against a lost update: two operators publish on the same base, and the second has not seen the first.
    second_publish_on_the_same_base_is_rejected: 0, [publish("a", 0, 7), publish("b", 0, 8)]
        => Some((1, "ordinary", 7));
    repeated_append_is_ignored: 0, [publish("a", 0, 7), publish("a", 0, 7)] => Some((1, "ordinary", 7));
    preset_switch_keeps_the_document: 0, [publish("a", 0, 7), switch("b", 1, "peak")] => Some((2, "peak", 7));
    publish_keeps_the_preset: 0, [publish("a", 0, 7), switch("b", 1, "peak"), publish("c", 2, 8)]
        => Some((3, "peak", 8));
    unknown_preset_is_rejected: 0, [publish("a", 0, 7), switch("b", 1, "night")] => Some((1, "ordinary", 7));
    invalid_document_is_rejected: 0, [publish("a", 0, 7), publish("b", 1, 0)] => Some((1, "ordinary", 7));
    switch_without_a_document_is_rejected: 0, [switch("a", 0, "peak")] => None;
    malformed_records_are_ignored: 0, [json!(null), json!({"record": "publish"}), publish("a", 0, 7)]
        => Some((3, "ordinary", 7));
    // Guards against a reader that evaluates a change without the records that retention dropped before it.
    no_base_after_truncation: 5, [publish("a", 0, 7)] => None;
    snapshot_is_a_base: 5, [snapshot(3, 7, 4), publish("a", 3, 8)] => Some((7, "ordinary", 8));
    records_before_the_snapshot_are_reduced: 5, [publish("a", 3, 8), snapshot(3, 7, 4)]
        => Some((6, "ordinary", 8));
    // Guards against a reverted change: a snapshot that was appended late does not cover the latest records.
    late_snapshot_is_not_a_base: 5, [snapshot(2, 7, 3)] => None;
    late_snapshot_reverts_no_change: 0, [publish("a", 0, 7), publish("b", 1, 8), snapshot(1, 7, 0)]
        => Some((2, "ordinary", 8));
    snapshot_of_later_records_is_ignored: 5, [snapshot(9, 7, 9)] => None;
}

// Guards against a gap that lowers the version, and against a reader that stays without a base although a neighbour
// relayed a state that covers the gap.
#[test]
fn state_of_a_neighbour_covers_a_gap() {
    let mut reducer = reduce(0, &[publish("a", 0, 7)]);
    reducer.skip_to(4);
    assert_eq!((reducer.version(), reducer.base_version()), (1, None));
    let relayed = VersionedConfig::new(4, document(9), "peak".to_owned()).expect("the preset exists");
    let relayed = serde_json::from_value(serde_json::to_value(relayed).expect("it serializes"));
    assert!(reducer.adopt(relayed.expect("it parses")));
    assert_eq!((reducer.version(), reducer.base_version()), (4, Some(4)));
    let old = VersionedConfig::new(2, document(9), "peak".to_owned()).expect("the preset exists");
    assert!(!reducer.adopt(old));
}

// Guards against a configuration that retention drops because no snapshot was appended in time.
#[test]
fn snapshot_is_due_after_a_quarter_of_the_retention() {
    let mut reducer = reduce(0, &[publish("a", 0, 7), switch("b", 1, "peak")]);
    assert_eq!(reducer.snapshot_due_at(Millis(8_000)), Some(Timestamp::from_millis(2_000)));
    let snapshot = reducer.snapshot().expect("there is a base");
    reducer.apply(2, Timestamp::from_millis(9_000), &snapshot);
    assert_eq!(reducer.snapshot_due_at(Millis(8_000)), Some(Timestamp::from_millis(11_000)));
    let mut follower = ConfigReducer::default();
    follower.skip_to(2);
    follower.apply(2, Timestamp::from_millis(9_000), &snapshot);
    assert_eq!(follower.in_force(), reducer.in_force());
}

// Guards against a log in which no change can ever be accepted again: after an outage longer than the retention, no
// reader has a base.
#[test]
fn base_is_recovered_when_no_reader_has_one() {
    let retention = Millis(60_000);
    let at = Timestamp::from_millis;
    let mut reducer = reduce(0, &[publish("a", 0, 7)]);
    reducer.skip_to(4);
    reducer.apply_raw(4, at(100_000), &publish("b", 1, 8));
    assert_eq!(reducer.due_snapshot(at(100_000), retention, 500), None);
    assert_eq!(reducer.due_snapshot(at(110_499), retention, 500), None);
    let snapshot = reducer.due_snapshot(at(110_500), retention, 500).expect("the wait is over");
    reducer.apply(5, at(110_501), &snapshot);
    assert_eq!((reducer.version(), reducer.base_version()), (5, Some(5)));
    let mut new_reader = ConfigReducer::default();
    new_reader.skip_to(4);
    assert_eq!(new_reader.due_snapshot(at(0), retention, 0), None);
    assert_eq!(new_reader.due_snapshot(at(59_999), retention, 0), None);
    assert!(new_reader.due_snapshot(at(60_000), retention, 0).is_some());
}

fn check_tracker(records: &[Value], expected: fn(&PublishOutcome) -> bool) {
    let own =
        ConfigRecord::PresetSwitch { publish: PublishId::new("own"), based_on: 1, preset: "peak".into() };
    let mut tracker = PublishTracker::new(&own).expect("a switch is a proposal");
    let mut reducer = reduce(0, &[publish("a", 0, 7)]);
    for (offset, record) in (1..).zip(records) {
        let effect = reducer.apply_raw(offset, Timestamp::ZERO, record);
        assert!(!matches!(effect, RecordEffect::Accepted { version: 0 }));
        tracker.observe(&serde_json::from_value(record.clone()).expect("it parses"), &effect);
    }
    assert!(expected(&tracker.outcome()), "{:?}", tracker.outcome());
}

macro_rules! tracker_cases {
    ($($name:ident: $records:expr => $expected:pat,)+) => {
        $(#[test] fn $name() { check_tracker(&$records, |outcome| matches!(outcome, $expected)); })+
    };
}

// Guards against an outcome that the author concludes from anything but records read from the log.
tracker_cases! {
    proposal_without_read_back_is_unknown: [] => PublishOutcome::Unknown,
    proposal_read_back_is_accepted: [switch("own", 1, "peak")] => PublishOutcome::Accepted { version: 2 },
    accepted_proposal_stays_accepted: [switch("own", 1, "peak"), publish("b", 2, 8)]
        => PublishOutcome::Accepted { version: 2 },
    superseded_proposal_is_rejected: [publish("b", 1, 8)] => PublishOutcome::Rejected { .. },
    rejected_proposal_of_another_author_decides_nothing: [publish("b", 0, 8)] => PublishOutcome::Unknown,
}

// Guards against a reader that starts late, after retention dropped records, and computes another state than a reader
// that read every record.
fn readers_agree(choices: Vec<(u8, u8)>, start: u8) -> bool {
    let mut complete = ConfigReducer::default();
    complete.skip_to(0);
    let mut log = Vec::new();
    for (i, (kind, back)) in choices.iter().enumerate() {
        let base = complete.version().saturating_sub(u64::from(back % 3 / 2));
        let record = match kind % 4 {
            0 => publish(&i.to_string(), base, u32::from(*back)),
            1 => switch(&i.to_string(), base, if back % 2 == 0 { "peak" } else { "night" }),
            2 => complete.snapshot().map_or(Value::Null, |record| to_json(&record)),
            _ => log.get(usize::from(*back)).cloned().unwrap_or_default(),
        };
        complete.apply_raw(i as u64, Timestamp::ZERO, &record);
        log.push(record);
    }
    let first = usize::from(start) % (log.len() + 1);
    let late = reduce(first as u64, &log[first..]);
    late.base_version().is_none() || late.in_force() == complete.in_force()
}

#[test]
fn property_readers_agree() {
    let property = readers_agree as fn(Vec<(u8, u8)>, u8) -> bool;
    QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(40, 1)).quickcheck(property);
}
