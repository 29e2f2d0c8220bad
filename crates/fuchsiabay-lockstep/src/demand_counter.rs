//! The token counts of one rank, reduced to what changed since the previous query.

use crate::DemandDelta;

/// Cumulative token counts as an engine reports them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandCounts {
    /// The epoch of the group.
    pub epoch: u64,
    /// The last step that has started.
    pub step: u64,
    /// Cumulative token counts, ordered by set and expert.
    pub counts: Vec<u64>,
}

/// Computes the changes between successive counts of one rank.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    last: Option<DemandCounts>,
}

impl DemandCounter {
    /// Returns what changed since the previous call. The first counts of a rank, and the first after its restart or in
    /// another epoch, only serve as a baseline.
    pub fn advance(&mut self, counts: DemandCounts) -> DemandDelta {
        let delta = match &self.last {
            Some(last) if is_continued(last, &counts) => {
                DemandDelta::between(&last.counts, &counts.counts, counts.epoch, counts.step)
            }
            _ => DemandDelta::baseline(counts.epoch, counts.step),
        };
        self.last = Some(counts);
        delta
    }
}

fn is_continued(last: &DemandCounts, counts: &DemandCounts) -> bool {
    last.epoch == counts.epoch
        && last.counts.len() == counts.counts.len()
        && last.counts.iter().zip(&counts.counts).all(|(old, new)| new >= old)
}
