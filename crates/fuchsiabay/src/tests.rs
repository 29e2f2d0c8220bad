//! The commands against a log in memory, which loses answers and lets others publish in between.

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
    options, preset, publish, replay,
    status::{self, Row},
};

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    AnswerLost,
    /// The answer is lost and the record arrives after this many read-backs.
    Late(u32),
    Lost,
    Refused,
    /// Another operator switches to `peak` first.
    Overtaken,
    /// The answer is lost, the record never arrives, and another operator switches to `peak`.
    LostAndOvertaken,
}

/// Read-backs until the time of the command is over.
const PATIENCE: u32 = 5;

struct FakeLog {
    records: RefCell<Vec<Value>>,
    first: u64,
    fate: Fate,
    late: RefCell<Option<Value>>,
    pauses: Cell<u32>,
}

impl FakeLog {
    fn new(records: &[ConfigRecord], fate: Fate) -> Self {
        let records = records.iter().map(|record| serde_json::to_value(record).unwrap()).collect();
        Self {
            records: RefCell::new(records),
            first: 0,
            fate,
            late: RefCell::default(),
            pauses: Cell::default(),
        }
    }

    fn overtake(&self) {
        let based_on = self.records.borrow().len() as u64;
        self.records.borrow_mut().push(serde_json::to_value(switch("other", based_on, "peak")).unwrap());
    }
}

impl ConfigLog for FakeLog {
    async fn append(&self, record: &ConfigRecord) -> Result<(), LogError> {
        let record = serde_json::to_value(record).unwrap();
        if self.fate == Fate::Overtaken {
            self.overtake();
        }
        match self.fate {
            Fate::Answered | Fate::AnswerLost | Fate::Overtaken => self.records.borrow_mut().push(record),
            Fate::Late(_) => _ = self.late.replace(Some(record)),
            Fate::Lost | Fate::LostAndOvertaken => {}
            Fate::Refused => return Err(LogError::NoEffect("down".into())),
        }
        match self.fate {
            Fate::Answered | Fate::Overtaken => Ok(()),
            _ => Err(LogError::EffectUnknown("lost".into())),
        }
    }

    async fn read(&self, from: u64) -> Result<LogPage<Value>, LogError> {
        // Small pages, so that reading on after a page is tested, too.
        let records: Vec<_> = self
            .records
            .borrow()
            .iter()
            .enumerate()
            .map(|(i, data)| LogRecord {
                offset: self.first + i as u64,
                at: Timestamp::ZERO,
                data: data.clone(),
            })
            .filter(|record| record.offset >= from)
            .take(2)
            .collect();
        let next = self.first + self.records.borrow().len() as u64;
        Ok(LogPage { first: self.first, next, records })
    }

    async fn pause(&self) -> bool {
        self.pauses.set(self.pauses.get() + 1);
        if self.fate == Fate::Late(self.pauses.get())
            && let Some(record) = self.late.take()
        {
            self.records.borrow_mut().push(record);
        }
        if self.fate == Fate::LostAndOvertaken && self.pauses.get() == 1 {
            self.overtake();
        }
        self.pauses.get() < PATIENCE
    }
}

fn example(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file)
}

fn document() -> Document {
    check::load_document(&example("dakar/configuration.jsonc")).unwrap()
}

fn published(id: &str, based_on: u64) -> ConfigRecord {
    ConfigRecord::publish(PublishId::new(id), based_on, &document())
}

fn switch(id: &str, based_on: u64, preset: &str) -> ConfigRecord {
    ConfigRecord::PresetSwitch { publish: PublishId::new(id), based_on, preset: preset.into() }
}

/// What a script of the desk branches on.
fn outcome(report: &Report) -> (Exit, &str, Option<u64>, Option<bool>) {
    let json = &report.json;
    let result = json["result"].as_str().unwrap();
    (report.exit, result, json["version"].as_u64(), json["may_have_taken_effect"].as_bool())
}

fn check_switch(name: &str, fate: Fate, expected: (Exit, &str, Option<u64>, Option<bool>)) {
    let log = FakeLog::new(&[published("first", 0), switch("second", 1, "maintenance")], fate);
    let report = smol::block_on(preset::switch(&log, PublishId::new("own"), name));
    assert_eq!(outcome(&report), expected, "{}", report.text);
}

macro_rules! switch_cases {
    ($($name:ident: $preset:literal, $fate:expr => $exit:ident, $result:literal, $version:expr, $effect:expr;)*) => {
        $(#[test]
        fn $name() {
            check_switch($preset, $fate, (Exit::$exit, $result, $version, $effect));
        })*
    };
}

// A wrong outcome makes the desk switch twice, or leave a preset in force that it believes gone.
switch_cases! {
    switches: "ordinary", Fate::Answered => Done, "accepted", Some(3), None;
    settles_a_lost_answer: "ordinary", Fate::AnswerLost => Done, "accepted", Some(3), None;
    settles_a_late_record: "ordinary", Fate::Late(3) => Done, "accepted", Some(3), None;
    reports_an_unknown_effect: "ordinary", Fate::Lost => Unavailable, "unavailable", None, Some(true);
    reports_no_effect: "ordinary", Fate::Refused => Unavailable, "unavailable", None, Some(false);
    reports_a_conflict: "ordinary", Fate::Overtaken => Conflict, "conflict", Some(3), None;
    settles_a_lost_record_by_its_base: "ordinary", Fate::LostAndOvertaken => Conflict, "conflict", Some(3), None;
    repeats_without_effect: "maintenance", Fate::Answered => Done, "already-in-force", Some(2), None;
    refuses_an_unknown_preset: "holiday", Fate::Answered => Invalid, "refused", None, None;
}

fn check_publish(
    records: &[ConfigRecord],
    based_on: Option<u64>,
    expected: (Exit, &str, Option<u64>, Option<bool>),
) {
    let log = FakeLog::new(records, Fate::Answered);
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
    publishes_the_first_document: &[], None => Done, "accepted", Some(1);
    publishes_on_the_version_in_force: &[published("first", 0)], Some(1) => Done, "accepted", Some(2);
    refuses_a_base_that_is_gone: &[published("first", 0)], Some(0) => Conflict, "conflict", Some(1);
}

// A retried publish would otherwise make a new version for each try.
#[test]
fn publishes_the_document_in_force_only_once() {
    let log = FakeLog::new(&[published("first", 0)], Fate::Answered);
    let report = smol::block_on(publish::publish_document(&log, PublishId::new("own"), None, &document()));
    assert_eq!(outcome(&report), (Exit::Done, "already-in-force", Some(1), None));
}

// A command that took a truncated log for an empty one would replace the configuration unseen.
#[test]
fn refuses_to_publish_on_a_truncated_log() {
    let mut log = FakeLog::new(&[switch("second", 4, "peak")], Fate::Answered);
    log.first = 4;
    let report = smol::block_on(publish::publish_document(&log, PublishId::new("own"), None, &document()));
    assert_eq!(outcome(&report), (Exit::Unavailable, "unavailable", None, Some(false)));
}

#[test]
fn lists_presets_and_marks_the_one_in_force() {
    let log = FakeLog::new(&[published("first", 0), switch("second", 1, "peak")], Fate::Answered);
    let report = smol::block_on(preset::list(&log));
    assert_eq!(report.text, "  maintenance\n  ordinary\n* peak");
    assert_eq!(report.json["in_force"], "peak");
}

#[test]
fn examples_have_no_faults() {
    let files = |place: &str, names: &[&str]| -> Vec<PathBuf> {
        names.iter().map(|name| example(place).join(name)).collect()
    };
    let mut all = files("dakar", &["entry.jsonc", "agent-engine.jsonc", "agent-booking.jsonc"]);
    all.extend(files("south-east-queensland", &["entry.jsonc", "agent-engine.jsonc", "agent-orders.jsonc"]));
    for place in ["dakar", "south-east-queensland"] {
        all.extend(files(place, &["configuration.jsonc", "command.jsonc"]));
    }
    let report = check::check(&all);
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
    let presets = ["maintenance", "ordinary", "peak"];
    for place in ["dakar", "south-east-queensland"] {
        let document = check::load_document(&example(place).join("configuration.jsonc")).unwrap();
        assert!(document.presets.keys().eq(presets), "{place}");
    }
}

// The desk corrects a document from the message alone, so it must name the line.
#[test]
fn names_the_line_of_a_faulty_document() {
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

// A document comes from a hand, so any of its bytes may be wrong; the command must name the fault and not crash.
#[test]
fn damaged_documents_give_a_document_or_a_fault() {
    const CASES: usize = 2_000;
    let text = std::fs::read(example("dakar/configuration.jsonc")).unwrap();
    let mut g = Gen::from_size_and_seed(64, 1);
    for _ in 0..CASES {
        let start = usize::arbitrary(&mut g) % text.len();
        let end = (start + usize::arbitrary(&mut g) % 8).min(text.len());
        let mut damaged = text.clone();
        damaged.splice(start..end, Vec::<u8>::arbitrary(&mut g).into_iter().take(4));
        if let Err(error) = fuchsiabay_settings::parse::<Document>("f", &damaged, check::problems) {
            assert!(error.to_string().starts_with("f:"), "{error}");
        }
    }
}

/// Records what a trace leads to with every mechanism on, states `violations` in addition, and replays it.
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

// A replay that overlooked a difference would pass a fault as fixed.
replay_cases! {
    replays_a_trace_as_stated: &[] => Done, "matches";
    reports_an_outcome_that_differs: &["a key ran twice"] => Invalid, "differs";
}

fn row(id: &str, version: Option<u64>, leaving: bool, not_ready: bool) -> Row {
    let state = if leaving { InstanceState::Leaving } else { InstanceState::Live };
    let instance: Instance = serde_json::from_value(json!({
        "id": id, "role": "entry", "zone": "a", "peer": "127.0.0.1:1", "generation": 1, "state": state,
    }))
    .unwrap();
    Row {
        instance,
        version,
        preset: version.map(|_| "peak".into()),
        not_ready: not_ready.then(|| "draining".into()),
        unreachable: version.is_none().then(|| "refused".into()),
    }
}

fn check_status(log: Result<u64, &str>, rows: Vec<Row>, exit: Exit, last_line: &str) {
    let in_force = log.map(|version| (version, Some("peak".to_owned()))).map_err(str::to_owned);
    let report = status::summarise(in_force, rows);
    assert_eq!(report.exit, exit, "{}", report.text);
    assert_eq!(report.text.lines().last(), Some(last_line), "{}", report.text);
}

macro_rules! status_cases {
    ($($name:ident: $log:expr, [$($row:expr),*] => $exit:ident, $last_line:literal;)*) => {
        $(#[test]
        fn $name() {
            check_status($log, vec![$($row),*], Exit::$exit, $last_line);
        })*
    };
}

// A status that says "everywhere" too early makes the desk go on while instances serve the old version.
status_cases! {
    is_everywhere: Ok(3), [row("a", Some(3), false, false), row("b", Some(2), true, false)]
        => Done, "in force everywhere (1 instances)";
    counts_those_behind: Ok(3), [row("a", Some(3), false, false), row("b", Some(2), false, false)]
        => Unavailable, "not in force everywhere: 1 of 2 instances";
    counts_the_unreachable: Ok(3), [row("a", None, false, false)]
        => Unavailable, "not in force everywhere: 1 of 1 instances";
    proves_nothing_with_an_empty_list: Ok(3), [row("a", Some(3), true, false)]
        => Unavailable, "the list has no live instance";
    proves_nothing_without_the_log: Err("down"), [row("a", Some(3), false, false)]
        => Unavailable, "not proved to be in force everywhere";
    counts_those_not_ready: Ok(3), [row("a", Some(3), false, true)] => Done, "not ready: 1 instances";
}

fn parse(args: &[&str]) -> Result<Options, String> {
    options().run_inner(Args::from(args)).map_err(|failure| failure.unwrap_stderr())
}

#[test]
fn parses_the_command_line() {
    let options =
        parse(&["publish", "--json", "--log-url", "http://127.0.0.1:1", "--based-on", "7", "f"]).unwrap();
    assert!(options.json);
    let Command::Publish { connection, based_on, file } = options.command else {
        panic!("another command was parsed");
    };
    assert_eq!(connection.log_url.as_deref(), Some("http://127.0.0.1:1"));
    assert_eq!((based_on, file), (Some(7), PathBuf::from("f")));
    assert!(parse(&["publish", "--based-on", "x", "f"]).is_err());
    assert!(parse(&["check"]).is_err());
}
