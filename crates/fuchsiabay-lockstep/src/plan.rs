//! A planned layout with what it costs and brings.

use crate::ExpertLayout;

/// The least skew that is worth a new layout while steps take long.
const MIN_SKEW: f64 = 1.25;

/// A skew at which streams fall behind even at moderate load.
const URGENT_SKEW: f64 = 1.7;

/// The least skew that is worth a new layout while steps are short.
const EASY_SKEW: f64 = 1.5;

/// The part of the time between two events that a step may take to count as short. Streams are then on time even if the
/// skew grows, and copies of experts are dearer than what they save.
const EASY_STEP_PART: f64 = 0.5;

/// The part of the present skew's excess that a new layout must leave at most.
const MAX_LEFT: f64 = 0.6;

/// A planned layout.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutPlan {
    /// The layout.
    pub layout: ExpertLayout,
    /// Experts that must be copied.
    pub copies: usize,
    /// The most loaded rank relative to the mean, averaged over the sets, before.
    pub skew_before: f64,
    /// The same after.
    pub skew_after: f64,
}

impl LayoutPlan {
    /// Returns whether the switch is worth its copies. `step_part` is the part of the time between two events that a step
    /// takes, and `is_calm` says that the last switch was a while ago.
    pub fn is_worthwhile(&self, step_part: f64, is_calm: bool) -> bool {
        let least_skew = match (is_calm, step_part < EASY_STEP_PART) {
            (false, _) => URGENT_SKEW,
            (true, true) => EASY_SKEW,
            (true, false) => MIN_SKEW,
        };
        let gain = self.skew_after - 1.0 <= (self.skew_before - 1.0) * MAX_LEFT;
        self.copies > 0 && self.skew_before >= least_skew && gain
    }
}
