//! Runs of many random cases.

use std::fmt;

use crate::{Mechanism, Promise, Trace, case::Case};

/// The result of the cases of one promise.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The promise.
    pub promise: Promise,
    /// How many cases ran.
    pub cases: u64,
    /// How many faults they contained.
    pub faults: usize,
    /// How many cases violated the promise.
    pub violations: u64,
    /// The seed of the run.
    pub seed: u64,
    /// The mechanism that was disabled.
    pub without: Option<&'static Mechanism>,
    /// A trace of the first case with a violation, reduced to the steps that the violation needs.
    pub trace: Option<Trace>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { promise, cases, faults, violations, seed, without, .. } = self;
        write!(f, "promise {promise}: cases={cases} faults={faults} violations={violations} seed={seed}")?;
        match without {
            Some(mechanism) => write!(f, " without={}", mechanism.name),
            None => Ok(()),
        }
    }
}

/// Runs `cases` random cases of `promise`. The same arguments give the same result.
pub fn run(promise: Promise, seed: u64, cases: u64, without: Option<&'static Mechanism>) -> Summary {
    let mut summary = Summary { promise, cases, faults: 0, violations: 0, seed, without, trace: None };
    for index in 0..cases {
        let case = Case::generate(promise, seed, index, without);
        summary.faults += case.script.faults();
        if case.run().violations.is_empty() {
            continue;
        }
        summary.violations += 1;
        if summary.trace.is_none() {
            summary.trace = Some(Trace::record(&case.shrink()));
        }
    }
    summary
}

/// Returns whether disabling `mechanism` leads to a violation of its promise in one of `cases` random cases.
pub fn detects_absence(mechanism: &'static Mechanism, seed: u64, cases: u64) -> bool {
    let case = |index| Case::generate(mechanism.promise, seed, index, Some(mechanism));
    (0..cases).any(|index| !case(index).run().violations.is_empty())
}
