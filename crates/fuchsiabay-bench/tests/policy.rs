//! The policies keep their goals on virtual time.

use std::sync::LazyLock;

use fuchsiabay_bench::policy_report;
use serde_json::Value;

static REPORT: LazyLock<Value> = LazyLock::new(|| policy_report(1));

fn check(goal: &str) {
    let [measured, relation, bound] = &REPORT["goals"][goal].as_array().expect("a goal")[..] else {
        panic!("{goal} is not a figure, a relation and a bound");
    };
    let (measured, bound) = (measured.as_f64().expect("a figure"), bound.as_f64().expect("a bound"));
    let met = if relation == "at most" { measured <= bound } else { measured >= bound };
    assert!(met, "{goal}: {measured} is not {relation} {bound}");
}

macro_rules! cases {
    ($($name:ident;)+) => { $(#[test] fn $name() { check(stringify!($name)); })+ };
}

// A change of scheduler or router that lets short work wait behind long work, refuses late, or lets one workspace
// crowd out the others shows here.
cases! {
    short_p99_of_round_robin;
    short_p99_of_least_loaded;
    long_p99_of_round_robin;
    burst_late_refusals;
    least_kept_percent_of_lone;
}
