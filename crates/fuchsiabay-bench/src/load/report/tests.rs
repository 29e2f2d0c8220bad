//! The report compares the outcomes that callers observed with the effects that occurred.

use std::{collections::HashMap, time::Duration};

use super::{
    super::{
        outcome::{Observation, Outcome},
        plan::{PlannedRequest, RequestKind},
    },
    Report,
};

const KEY: &str = "key";

/// Reports a call that was sent once for each of `outcomes` with the same key and whose effect occurred `effects`
/// times.
fn check(outcomes: &[Outcome], effects: u64, wrong: u64, doubled: u64) {
    let mut report = Report::default();
    let request = PlannedRequest {
        at_us: 0,
        content_id: 1,
        entry: 0,
        workspace: 0,
        kind: RequestKind::Keyed { random: 1, issued_ms: 0 },
    };
    for &outcome in outcomes {
        let observation = Observation {
            outcome,
            detail: String::new(),
            time_to_first_token: None,
            latency: Duration::from_millis(1),
            tokens: 0,
        };
        report.add(&request, Some(KEY.to_owned()), observation);
    }
    let effects = (effects > 0).then(|| (KEY.to_owned(), effects));
    report.add_effects(&effects.into_iter().collect::<HashMap<_, _>>());
    assert_eq!((report.wrong, report.doubled), (wrong, doubled), "{report}");
    let outcomes = report.answered + report.refused_not_run + report.may_have_run + report.wrong;
    assert_eq!(report.sent, outcomes + report.truncated, "{report}");
    assert_eq!(report.passed(), wrong == 0 && doubled == 0 && report.truncated == 0);
}

macro_rules! cases {
    ($($name:ident: $outcomes:expr, $effects:expr => $wrong:expr, $doubled:expr;)+) => {
        $(#[test] fn $name() { check(&$outcomes, $effects, $wrong, $doubled); })+
    };
}

use Outcome::{Answered, MayHaveRun, RefusedNotRun, Truncated};

// A violation that the report misses would go unnoticed in every demo.
cases! {
    answered_once: [Answered, Answered], 1 => 0, 0;
    answered_and_run_twice: [Answered, Answered], 2 => 0, 1;
    refused_and_not_run: [RefusedNotRun], 0 => 0, 0;
    refused_but_run: [RefusedNotRun, RefusedNotRun], 1 => 1, 0;
    refused_and_then_run: [RefusedNotRun, Answered], 1 => 0, 0;
    may_have_run_and_run: [MayHaveRun, RefusedNotRun], 1 => 0, 0;
    truncated_fails_the_run: [Truncated], 1 => 0, 0;
}
