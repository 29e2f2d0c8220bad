//! The sum of what the neighbours report about one service.

use std::collections::{BTreeMap, HashMap};

use fuchsiabay_base::{Timestamp, WorkspaceId};

use super::DemandReport;

/// The demand of the neighbours that have reported recently.
#[derive(Clone, Debug, Default)]
pub struct ReportedDemand {
    /// The number of neighbours that have reported.
    pub reporters: usize,
    /// The rate of arrivals that can be on time, per second.
    pub arrivals_per_s: f64,
    /// The number of waiting requests.
    pub waiting: u32,
    /// See [`DemandReport::below_share`].
    pub below_share: BTreeMap<u8, u32>,
    /// The usage of the heaviest workspaces of each neighbour.
    pub usage: HashMap<WorkspaceId, f64>,
    /// When the last report expires.
    pub until: Timestamp,
}

impl ReportedDemand {
    /// Adds the report of a neighbour, which is used until `until`. None if it has no demand for the service.
    pub fn add(&mut self, report: Option<&DemandReport>, until: Timestamp) {
        self.reporters += 1;
        self.until = self.until.max(until);
        let Some(report) = report else {
            return;
        };
        self.arrivals_per_s += report.arrivals_per_s();
        self.waiting = self.waiting.saturating_add(report.waiting);
        for (priority, waiting) in &report.below_share {
            let sum = self.below_share.entry(*priority).or_default();
            *sum = sum.saturating_add(*waiting);
        }
        for (workspace, usage) in report.usage() {
            *self.usage.entry(workspace.clone()).or_default() += usage;
        }
    }

    /// Returns the ratio of the demand of all other instances to the reported one, if `instances` instances share the service and the
    /// others are like those that have reported.
    pub fn extrapolation(&self, instances: usize) -> f64 {
        let others = instances.saturating_sub(1).max(self.reporters);
        others as f64 / self.reporters.max(1) as f64
    }
}
