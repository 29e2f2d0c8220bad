//! How far permits and switches look ahead.

use fuchsiabay_base::invariant;

/// The time that permits cover, in microseconds. It is longer than a slow exchange with the engine, and a fifth of the
/// lead of a switch.
const PERMIT_AHEAD_US: u64 = 2_000_000;

/// The time from the proposal of a switch to its hold step, in microseconds. It covers the round trip through the log,
/// loading the weights and collecting the votes, so that a switch normally causes no stall.
const HOLD_LEAD_US: u64 = 10_000_000;

/// The minimum number of steps that permits cover.
const MIN_PERMIT_STEPS: u64 = 4;

/// How far permits and switches look ahead, in steps.
///
/// It is derived from the settings alone and not from measured step times, so that every incarnation of an agent knows
/// how far an earlier one may have granted permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookahead {
    permit_ahead: u64,
    hold_lead: u64,
}

impl Lookahead {
    /// Returns the look-ahead of a group whose steps usually take `step_us` microseconds.
    pub fn from_step_us(step_us: u64) -> Self {
        let steps = |us: u64| (us / step_us.max(1)).max(MIN_PERMIT_STEPS);
        Self::new(steps(PERMIT_AHEAD_US), steps(HOLD_LEAD_US).max(5 * MIN_PERMIT_STEPS))
    }

    /// Returns the look-ahead with permits for `permit_ahead` steps and hold steps `hold_lead` steps ahead.
    ///
    /// `hold_lead` must be larger than `permit_ahead`, because no agent may vote for a hold step that it has
    /// permitted.
    pub fn new(permit_ahead: u64, hold_lead: u64) -> Self {
        invariant!(
            "hold-lead-exceeds-permits",
            hold_lead > permit_ahead,
            "hold step {hold_lead} steps ahead, but permits cover {permit_ahead} steps"
        );
        Self { permit_ahead, hold_lead }
    }

    /// Returns the maximum number of steps beyond the current one that are permitted.
    pub fn permit_ahead(self) -> u64 {
        self.permit_ahead
    }

    /// Returns how many steps a proposed hold step lies beyond the current step.
    pub fn hold_lead(self) -> u64 {
        self.hold_lead
    }
}
