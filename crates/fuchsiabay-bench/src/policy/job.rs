//! One request of a simulation.

use fuchsiabay_base::{Timestamp, WorkspaceId};

/// One request and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) arrival: Timestamp,
    pub(crate) workspace: WorkspaceId,
    /// The entry instance that it arrives at.
    pub(crate) entry: usize,
    /// What the balancer is told, which is the limit of the answer.
    pub(crate) estimated_tokens: u32,
    /// What it costs in fact.
    pub(crate) tokens: u32,
    pub(crate) long: bool,
    pub(crate) deadline: Timestamp,
    pub(crate) started: Option<Timestamp>,
    pub(crate) finished: Option<Timestamp>,
    pub(crate) refused: Option<Timestamp>,
}

impl Job {
    /// Returns whether the whole answer came by the deadline.
    pub(crate) fn in_time(&self) -> bool {
        self.finished.is_some_and(|finished| finished <= self.deadline)
    }

    /// Returns the time from the arrival to the start in milliseconds.
    pub(crate) fn wait_ms(&self) -> Option<u64> {
        Some(self.started?.millis_since(self.arrival))
    }

    /// Returns the time from the arrival to the end in milliseconds.
    pub(crate) fn total_ms(&self) -> Option<u64> {
        Some(self.finished?.millis_since(self.arrival))
    }
}
