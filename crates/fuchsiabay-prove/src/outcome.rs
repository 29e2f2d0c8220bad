//! What a case led to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The violations that a trace lists.
const KEPT_VIOLATIONS: usize = 5;

/// The observed effects of a case and the promises that they break.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// One sentence for each violation.
    pub violations: Vec<String>,
    /// What was observed, by subject.
    pub facts: BTreeMap<String, String>,
}

impl Outcome {
    /// Notes a violation. Only the first few are kept: the others follow from them.
    pub(crate) fn add_violation(&mut self, text: impl Into<String>) {
        let text = text.into();
        if self.violations.len() < KEPT_VIOLATIONS && !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    /// Notes an observation.
    pub(crate) fn add_fact(&mut self, subject: impl Into<String>, observed: impl Into<String>) {
        self.facts.insert(subject.into(), observed.into());
    }
}
