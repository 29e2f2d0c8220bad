//! Runs are deterministic and find no violation, recorded traces lead to their expected outcomes, and runs detect a
//! disabled mechanism.

use std::path::{Path, PathBuf};

use fuchsiabay_prove::{Promise, replay, run};

/// Enough cases to include every pattern of the scripts; `cargo xtask prove` runs more.
const CASES: u64 = 60;

fn check(promise: &str) {
    let promise: Promise = promise.parse().expect("the promise exists");
    let first = run(promise, 1, CASES, None);
    let second = run(promise, 1, CASES, None);
    assert_eq!(first.to_string(), second.to_string());
    assert_eq!(first.violations, 0, "{:?}", first.trace);
    assert!(first.faults > 0);
}

macro_rules! promises {
    ($($name:ident: $promise:literal;)+) => { $(#[test] fn $name() { check($promise); })+ };
}

promises! {
    at_most_once: "at-most-once";
    not_run_is_true: "not-run-is-true";
    config: "config";
    crash_containment: "crash-containment";
    fencing: "fencing";
    expert_map: "expert-map";
    lockstep_map: "lockstep-map";
    shared_news: "shared-news";
    leaving_and_drain: "leaving-and-drain";
    whole_answer: "whole-answer";
    departures: "departures";
}

fn traces() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/traces");
    let files = std::fs::read_dir(dir).expect("the directory exists");
    files.map(|file| file.expect("the directory can be read").path()).collect()
}

// Each trace violated a promise while one mechanism was disabled. With all mechanisms enabled, it must lead to the
// expected outcome, without a violation.
#[test]
fn traces_lead_to_their_expected_outcomes() {
    let files = traces();
    assert!(!files.is_empty());
    for file in files {
        let result = replay(&file).expect("the trace can be replayed");
        assert!(result.matches(), "{}: {:?}", file.display(), result.differences());
        assert!(result.expected.violations.is_empty(), "{}", file.display());
    }
}

// Returns whether the recorded trace with the name of the mechanism violates a promise when the mechanism is disabled.
// Some patterns are too rare for a few hundred random cases.
#[cfg(feature = "ablation")]
fn trace_detects_absence(mechanism: &str) -> bool {
    let file = traces().into_iter().find(|file| file.file_stem().is_some_and(|stem| stem == mechanism));
    let Some(file) = file else {
        return false;
    };
    let mut trace = fuchsiabay_prove::Trace::read(&file).expect("the trace can be read");
    trace.without = Some(mechanism.to_owned());
    !trace.run().expect("the mechanism exists").violations.is_empty()
}

// If a mechanism could be disabled without a violation, the runs would not test it.
#[cfg(feature = "ablation")]
#[test]
fn runs_detect_each_disabled_mechanism() {
    for mechanism in fuchsiabay_prove::MECHANISMS {
        let detected =
            fuchsiabay_prove::detects_absence(mechanism, 1, 200) || trace_detects_absence(mechanism.name);
        assert!(detected, "no violation without {}", mechanism.name);
    }
}
