//! A random case.

use fuchsiabay_base::Fingerprint;

use crate::{Mechanism, Outcome, Promise, Script};

/// A script and the seed of its message delays.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) promise: Promise,
    pub(crate) seed: u64,
    pub(crate) script: Script,
    pub(crate) without: Option<&'static Mechanism>,
}

impl Case {
    /// Generates case `index` of a run. The cases of different promises and runs are independent.
    pub(crate) fn generate(
        promise: Promise,
        run_seed: u64,
        index: u64,
        without: Option<&'static Mechanism>,
    ) -> Self {
        let parts: [&[u8]; 3] = [promise.name().as_bytes(), &run_seed.to_le_bytes(), &index.to_le_bytes()];
        let digits = Fingerprint::of(&parts).to_string();
        let seed = u64::from_str_radix(&digits[..16], 16).unwrap_or_default();
        let script = Script::generate(promise, &mut fastrand::Rng::with_seed(seed));
        Self { promise, seed, script, without }
    }

    pub(crate) fn run(&self) -> Outcome {
        let before = fuchsiabay_base::violation_count();
        let mut outcome = Mechanism::without(self.without, || self.script.run(self.promise, self.seed));
        let violated_invariants = fuchsiabay_base::violation_count() - before;
        // With a mechanism disabled, only the observed effects count: they must show the fault without the help of the
        // program's invariants.
        if violated_invariants > 0 && self.without.is_none() {
            outcome.add_violation(format!("the program reported {violated_invariants} violated invariants"));
        }
        outcome
    }

    /// Removes the steps that the violation does not need, one at a time, so that the trace is short.
    pub(crate) fn shrink(mut self) -> Self {
        let mut i = 0;
        while i < self.script.len() {
            let shorter = Self { script: self.script.without_step(i), ..self.clone() };
            if shorter.run().violations.is_empty() {
                i += 1;
            } else {
                self = shorter;
            }
        }
        self
    }
}
