//! A planned layout with its cost and benefit.

use crate::ExpertLayout;

/// The minimum skew that justifies a new layout while steps are long.
const MIN_SKEW: f64 = 1.25;

/// The skew at which streams fall behind even under moderate load.
const URGENT_SKEW: f64 = 1.7;

/// The minimum skew that justifies a new layout while steps are short.
const SHORT_STEP_MIN_SKEW: f64 = 1.5;

/// The share of the time between two stream events below which a step counts as short. Streams then stay on time even if
/// the skew grows, and copying experts costs more than it saves.
const SHORT_STEP_SHARE: f64 = 0.5;

/// The maximum share of the excess skew, which is the skew above 1, that may remain under a new layout.
const MAX_REMAINING_SKEW_SHARE: f64 = 0.6;

/// A planned layout.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutPlan {
    /// The layout.
    pub layout: ExpertLayout,
    /// The number of experts that must be copied.
    pub copies: usize,
    /// The load of the most loaded rank relative to the mean, averaged over the sets, in the current layout.
    pub skew_before: f64,
    /// The same in the planned layout.
    pub skew_after: f64,
}

impl LayoutPlan {
    /// Returns the minimum skew of the current layout that justifies a switch. `step_share` is the share of the time between
    /// two stream events that a step takes. `has_cooled_down` states whether the cooldown after the last switch has ended;
    /// until then, only an urgent skew justifies another switch.
    pub fn min_skew(step_share: f64, has_cooled_down: bool) -> f64 {
        match (has_cooled_down, step_share < SHORT_STEP_SHARE) {
            (false, _) => URGENT_SKEW,
            (true, true) => SHORT_STEP_MIN_SKEW,
            (true, false) => MIN_SKEW,
        }
    }

    /// Returns whether the benefit of the switch justifies its copies. For the arguments, see [`LayoutPlan::min_skew`].
    pub fn is_worthwhile(&self, step_share: f64, has_cooled_down: bool) -> bool {
        let reduces_skew = self.skew_after - 1.0 <= (self.skew_before - 1.0) * MAX_REMAINING_SKEW_SHARE;
        self.copies > 0 && self.skew_before >= Self::min_skew(step_share, has_cooled_down) && reduces_skew
    }
}
