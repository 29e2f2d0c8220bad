//! The check of a configuration before it is published: errors, entries that can never be used, and limits that contradict
//! each other.

mod change;
mod finding;
mod limits;
mod routes;
mod workspaces;

pub use change::ConfigChange;
pub use finding::{Finding, Severity};

use crate::ServingConfig;

impl ServingConfig {
    /// Returns everything in the configuration that is wrong or without effect, errors first.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = routes::findings(self);
        findings.extend(workspaces::findings(self));
        findings.extend(limits::findings(self));
        findings.sort_by_key(|finding| finding.severity);
        findings
    }

    /// Returns what changes if this configuration replaces `in_force`.
    pub fn changes_from(&self, in_force: &Self) -> Vec<ConfigChange> {
        change::changes(in_force, self)
    }

    /// Returns why this configuration would not replace `in_force`, if it would not.
    pub fn version_finding(&self, in_force: &Self) -> Option<Finding> {
        let message = || format!("is not above version {} in force, so it is ignored", in_force.version);
        (self.version <= in_force.version).then(|| Finding::error("version", message()))
    }
}
