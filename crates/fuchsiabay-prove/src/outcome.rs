//! The outcome of a case.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How many violations an outcome holds at most.
const MAX_VIOLATIONS: usize = 5;

/// The observed effects of a case and the violations of its promise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// One sentence for each violation.
    pub violations: Vec<String>,
    /// Observed effects by subject.
    pub facts: BTreeMap<String, String>,
}

impl Outcome {
    /// Adds a violation. Only the first few are kept, because later ones are usually consequences of them.
    pub(crate) fn add_violation(&mut self, text: impl Into<String>) {
        let text = text.into();
        if self.violations.len() < MAX_VIOLATIONS && !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    /// Adds an observed effect.
    pub(crate) fn add_fact(&mut self, subject: impl Into<String>, observed: impl Into<String>) {
        self.facts.insert(subject.into(), observed.into());
    }
}
