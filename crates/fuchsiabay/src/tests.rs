//! Tests of the commands with an in-memory log, which can lose responses and records and insert concurrent changes.

use std::{
    cell::{Cell, RefCell},
    path::{Path, PathBuf},
};

use bpaf::Args;
use fuchsiabay_base::Timestamp;
use fuchsiabay_config::{ConfigRecord, Document, PublishId};
use fuchsiabay_prove::Trace;
use fuchsiabay_runtime::{Instance, InstanceState, LogError, LogPage, LogRecord};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

use crate::{
    Command, Exit, Options, Report, check,
    config_log::ConfigLog,
    option_parser, preset, publish, replay,
    status::{self, InstanceStatus},
};

/// How the fake log handles an append.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Succeed,
    /// The record is appended, but the response is lost.
    LoseResponse,
    /// The response is lost, and the record is appended after this many pauses.
    DelayRecord(u32),
    /// Both the response and the record are lost.
    LoseRecord,
    /// The append fails without effect.
    Reject,
    /// Another operator switches to `peak` first.
    ConcurrentSwitch,
    /// The response and the record are lost, and another operator switches to `peak`.
    LoseRecordAndSwitch,
}

/// The number of pauses until the timeout of the command expires.
const MAX_PAUSES: u32 = 5;

struct FakeLog {
    records: RefCell<Vec<Value>>,
    first_offset: u64,
    behaviour: Behaviour,
    delayed_record: RefCell<Option<Value>>,
    pauses: Cell<u32>,
}

impl FakeLog {
    fn new(records: &[ConfigRecord], behaviour: Behaviour) -> Self {
        let records = records.iter().map(|record| serde_json::to_value(record).unwrap()).collect();
        Self {
            records: RefCell::new(records),
            first_offset: 0,
            behaviour,
            delayed_record: RefCell::default(),
            pauses: Cell::default(),
        }
    }

    fn append_concurrent_switch(&self) {
        let based_on = self.records.borrow().len() as u64;
        self.records
            .borrow_mut()
            .push(serde_json::to_value(switch_record("other", based_on, "peak")).unwrap());
    }
}

impl ConfigLog for FakeLog {
    async fn append(&self, record: &ConfigRecord) -> Result<(), LogError> {
        let record = serde_json::to_value(record).unwrap();
        if self.behaviour == Behaviour::ConcurrentSwitch {
            self.append_concurrent_switch();
        }
        match self.behaviour {
            Behaviour::Succeed | Behaviour::LoseResponse | Behaviour::ConcurrentSwitch => {
                self.records.borrow_mut().push(record)
            }
            Behaviour::DelayRecord(_) => _ = self.delayed_record.replace(Some(record)),
            Behaviour::LoseRecord | Behaviour::LoseRecordAndSwitch => {}
            Behaviour::Reject => return Err(LogError::NoEffect("down".into())),
        }
        match self.behaviour {
            Behaviour::Succeed | Behaviour::ConcurrentSwitch => Ok(()),
            _ => Err(LogError::EffectUnknown("lost".into())),
        }
    }

    async fn read(&self, from: u64) -> Result<LogPage<Value>, LogError> {
        // Small pages, so that the tests also read more than one page.
        let records: Vec<_> = self
            .records
            .borrow()
            .iter()
            .enumerate()
            .map(|(i, data)| LogRecord {
                offset: self.first_offset + i as u64,
                at: Timestamp::ZERO,
                data: data.clone(),
            })
            .filter(|record| record.offset >= from)
            .take(2)
            .collect();
        let next = self.first_offset + self.records.borrow().len() as u64;
        Ok(LogPage { first: self.first_offset, next, records })
    }

    async fn pause(&self) -> bool {
        self.pauses.set(self.pauses.get() + 1);
        if self.behaviour == Behaviour::DelayRecord(self.pauses.get())
            && let Some(record) = self.delayed_record.take()
        {
            self.records.borrow_mut().push(record);
        }
        if self.behaviour == Behaviour::LoseRecordAndSwitch && self.pauses.get() == 1 {
            self.append_concurrent_switch();
        }
        self.pauses.get() < MAX_PAUSES
    }
}

fn example(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file)
}

fn document() -> Document {
    check::load_document(&example("dakar/configuration.jsonc")).unwrap()
}

fn publish_record(id: &str, based_on: u64) -> ConfigRecord {
    ConfigRecord::publish(PublishId::new(id), based_on, &document())
}

fn switch_record(id: &str, based_on: u64, preset: &str) -> ConfigRecord {
    ConfigRecord::PresetSwitch { publish: PublishId::new(id), based_on, preset: preset.into() }
}

/// Returns the parts of a report on which operators' scripts branch.
fn outcome(report: &Report) -> (Exit, &str, Option<u64>, Option<bool>) {
    let json = &report.json;
    let result = json["result"].as_str().unwrap();
    (report.exit, result, json["version"].as_u64(), json["may_have_taken_effect"].as_bool())
}

fn check_switch(name: &str, behaviour: Behaviour, expected: (Exit, &str, Option<u64>, Option<bool>)) {
    let log =
        FakeLog::new(&[publish_record("first", 0), switch_record("second", 1, "maintenance")], behaviour);
    let report = smol::block_on(preset::switch(&log, PublishId::new("own"), name));
    assert_eq!(outcome(&report), expected, "{}", report.text);
}

macro_rules! switch_cases {
    ($(
        $name:ident: $preset:literal, $behaviour:expr => $exit:ident, $result:literal, $version:expr, $effect:expr;
    )*) => {
        $(#[test]
        fn $name() {
            check_switch($preset, $behaviour, (Exit::$exit, $result, $version, $effect));
        })*
    };
}

// Guards against a wrong outcome, after which operators switch twice or believe that a preset is no longer in force.
switch_cases! {
    switch_is_accepted: "ordinary", Behaviour::Succeed => Done, "accepted", Some(3), None;
    lost_response: "ordinary", Behaviour::LoseResponse => Done, "accepted", Some(3), None;
    delayed_record: "ordinary", Behaviour::DelayRecord(3) => Done, "accepted", Some(3), None;
    lost_record_has_unknown_effect: "ordinary", Behaviour::LoseRecord
        => Unavailable, "unavailable", None, Some(true);
    rejected_append_has_no_effect: "ordinary", Behaviour::Reject => Unavailable, "unavailable", None, Some(false);
    concurrent_switch_is_a_conflict: "ordinary", Behaviour::ConcurrentSwitch => Conflict, "conflict", Some(3), None;
    lost_record_with_stale_base_is_a_conflict: "ordinary", Behaviour::LoseRecordAndSwitch
        => Conflict, "conflict", Some(3), None;
    preset_is_already_in_force: "maintenance", Behaviour::Succeed => Done, "already-in-force", Some(2), None;
    unknown_preset_is_refused: "holiday", Behaviour::Succeed => Invalid, "refused", None, None;
}

fn check_publish(
    records: &[ConfigRecord],
    based_on: Option<u64>,
    expected: (Exit, &str, Option<u64>, Option<bool>),
) {
    let log = FakeLog::new(records, Behaviour::Succeed);
    let mut document = document();
    document.initial_preset = "peak".into();
    let report = smol::block_on(publish::publish_document(&log, PublishId::new("own"), based_on, &document));
    assert_eq!(outcome(&report), expected, "{}", report.text);
}

macro_rules! publish_cases {
    ($($name:ident: $records:expr, $based_on:expr => $exit:ident, $result:literal, $version:expr;)*) => {
        $(#[test]
        fn $name() {
            check_publish($records, $based_on, (Exit::$exit, $result, $version, None));
        })*
    };
}

publish_cases! {
    first_document_is_published: &[], None => Done, "accepted", Some(1);
    document_based_on_the_version_in_force: &[publish_record("first", 0)], Some(1) => Done, "accepted", Some(2);
    document_based_on_an_old_version_is_a_conflict: &[publish_record("first", 0)], Some(0)
        => Conflict, "conflict", Some(1);
}

/// Guards against a retried publish that creates a new version with each attempt.
#[test]
fn document_in_force_is_not_published_again() {
    let log = FakeLog::new(&[publish_record("first", 0)], Behaviour::Succeed);
    let report = smol::block_on(publish::publish_document(&log, PublishId::new("own"), None, &document()));
    assert_eq!(outcome(&report), (Exit::Done, "already-in-force", Some(1), None));
}

/// Guards against a command that takes a truncated log for an empty one and overwrites the configuration.
#[test]
fn publish_on_a_truncated_log_fails() {
    let mut log = FakeLog::new(&[switch_record("second", 4, "peak")], Behaviour::Succeed);
    log.first_offset = 4;
    let report = smol::block_on(publish::publish_document(&log, PublishId::new("own"), None, &document()));
    assert_eq!(outcome(&report), (Exit::Unavailable, "unavailable", None, Some(false)));
}

#[test]
fn preset_list_marks_the_one_in_force() {
    let log =
        FakeLog::new(&[publish_record("first", 0), switch_record("second", 1, "peak")], Behaviour::Succeed);
    let report = smol::block_on(preset::list(&log));
    assert_eq!(report.text, "  maintenance\n  ordinary\n* peak");
    assert_eq!(report.json["in_force"], "peak");
}

#[test]
fn examples_are_valid() {
    let files = |deployment: &str, names: &[&str]| -> Vec<PathBuf> {
        names.iter().map(|name| example(deployment).join(name)).collect()
    };
    let mut all = files("dakar", &["entry.jsonc", "agent-engine.jsonc", "agent-booking.jsonc"]);
    all.extend(files("south-east-queensland", &["entry.jsonc", "agent-engine.jsonc", "agent-orders.jsonc"]));
    for deployment in ["dakar", "south-east-queensland"] {
        all.extend(files(deployment, &["configuration.jsonc", "command.jsonc"]));
    }
    let report = check::check(&all);
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
    let presets = ["maintenance", "ordinary", "peak"];
    for deployment in ["dakar", "south-east-queensland"] {
        let document = check::load_document(&example(deployment).join("configuration.jsonc")).unwrap();
        assert!(document.presets.keys().eq(presets), "{deployment}");
    }
}

/// Guards against an error without a line number: operators correct a document from the message alone.
#[test]
fn error_in_a_document_has_a_line_number() {
    let text = std::fs::read_to_string(example("dakar/configuration.jsonc")).unwrap();
    let text = text.replace("\"long_share_percent\": 25", "\"long_share_percent\": 0");
    let line = 1 + text.lines().position(|line| line.contains("_percent\": 0,")).unwrap();
    let file = std::env::temp_dir().join(format!("fuchsiabay-check-{}.jsonc", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let report = check::check(std::slice::from_ref(&file));
    std::fs::remove_file(&file).unwrap();
    assert_eq!(report.exit, Exit::Invalid);
    let expected =
        format!("{}:{line}: presets.peak.long_share_percent: allowed: 1 to 100 percent", file.display());
    assert_eq!(report.text, expected);
}

/// Guards against a crash on a corrupt document. Documents are written by hand, so any of their bytes may be wrong.
#[test]
fn corrupted_document_is_valid_or_gives_an_error() {
    const CASES: usize = 2_000;
    let text = std::fs::read(example("dakar/configuration.jsonc")).unwrap();
    let mut g = Gen::from_size_and_seed(64, 1);
    for _ in 0..CASES {
        let start = usize::arbitrary(&mut g) % text.len();
        let end = (start + usize::arbitrary(&mut g) % 8).min(text.len());
        let mut corrupted = text.clone();
        corrupted.splice(start..end, Vec::<u8>::arbitrary(&mut g).into_iter().take(4));
        if let Err(error) = fuchsiabay_settings::parse::<Document>("f", &corrupted, check::problems) {
            assert!(error.to_string().starts_with("f:"), "{error}");
        }
    }
}

/// Records the outcome of a trace with every mechanism enabled, adds `violations` to it and replays the trace.
fn check_replay(violations: &[&str], exit: Exit, expected: &str) {
    let traces = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/traces");
    let mut trace = Trace::read(&traces.join("claim-window.json")).unwrap();
    trace.expected = trace.run().unwrap();
    trace.expected.violations.extend(violations.iter().map(|&text| text.to_owned()));
    let name = format!("fuchsiabay-replay-{}-{}.json", std::process::id(), violations.len());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, serde_json::to_vec(&trace).unwrap()).unwrap();
    let report = replay::replay(&file);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(report.exit, exit, "{}", report.text);
    assert_eq!(report.json["result"], expected, "{}", report.text);
}

macro_rules! replay_cases {
    ($($name:ident: $violations:expr => $exit:ident, $result:literal;)*) => {
        $(#[test]
        fn $name() {
            check_replay($violations, Exit::$exit, $result);
        })*
    };
}

// Guards against a replay that misses a difference, so that a bug seems fixed.
replay_cases! {
    matching_outcome: &[] => Done, "matches";
    differing_outcome: &["a key ran twice"] => Invalid, "differs";
}

fn instance_status(id: &str, version: Option<u64>, leaving: bool, not_ready: bool) -> InstanceStatus {
    let state = if leaving { InstanceState::Leaving } else { InstanceState::Live };
    let instance: Instance = serde_json::from_value(json!({
        "id": id, "role": "entry", "zone": "a", "peer": "127.0.0.1:1", "generation": 1, "state": state,
    }))
    .unwrap();
    InstanceStatus {
        instance,
        version,
        preset: version.map(|_| "peak".into()),
        not_ready: not_ready.then(|| "draining".into()),
        unreachable: version.is_none().then(|| "refused".into()),
    }
}

fn check_status(log: Result<u64, &str>, statuses: Vec<InstanceStatus>, exit: Exit, last_line: &str) {
    let in_force = log.map(|version| (version, Some("peak".to_owned()))).map_err(str::to_owned);
    let report = status::summarise(in_force, statuses);
    assert_eq!(report.exit, exit, "{}", report.text);
    assert_eq!(report.text.lines().last(), Some(last_line), "{}", report.text);
}

macro_rules! status_cases {
    ($($name:ident: $log:expr, [$($status:expr),*] => $exit:ident, $last_line:literal;)*) => {
        $(#[test]
        fn $name() {
            check_status($log, vec![$($status),*], Exit::$exit, $last_line);
        })*
    };
}

// Guards against a status of "in force everywhere" while some instances still use the old version.
status_cases! {
    leaving_instance_is_not_counted: Ok(3),
        [instance_status("a", Some(3), false, false), instance_status("b", Some(2), true, false)]
        => Done, "in force everywhere (1 instances)";
    instance_with_an_old_version_is_counted: Ok(3),
        [instance_status("a", Some(3), false, false), instance_status("b", Some(2), false, false)]
        => Unavailable, "not in force everywhere: 1 of 2 instances";
    unreachable_instance_is_counted: Ok(3), [instance_status("a", None, false, false)]
        => Unavailable, "not in force everywhere: 1 of 1 instances";
    list_without_live_instances: Ok(3), [instance_status("a", Some(3), true, false)]
        => Unavailable, "the list has no live instance";
    unavailable_log: Err("down"), [instance_status("a", Some(3), false, false)]
        => Unavailable, "not proved to be in force everywhere";
    instance_that_is_not_ready: Ok(3), [instance_status("a", Some(3), false, true)] => Done, "not ready: 1 instances";
}

fn parse(args: &[&str]) -> Result<Options, String> {
    option_parser().run_inner(Args::from(args)).map_err(|failure| failure.unwrap_stderr())
}

#[test]
fn command_line_is_parsed() {
    let options =
        parse(&["publish", "--json", "--log-url", "http://127.0.0.1:1", "--based-on", "7", "f"]).unwrap();
    assert!(options.json);
    let Command::Publish { connection, based_on, file } = options.command else {
        panic!("expected a publish command");
    };
    assert_eq!(connection.log_url.as_deref(), Some("http://127.0.0.1:1"));
    assert_eq!((based_on, file), (Some(7), PathBuf::from("f")));
    assert!(parse(&["publish", "--based-on", "x", "f"]).is_err());
    assert!(parse(&["check"]).is_err());
}
