//! How far permits and switches look ahead.

use fuchsiabay_base::invariant;

/// The time that permits cover, in microseconds. It outlasts a slow exchange with the engine, and is a fifth of the
/// lead of a switch.
const PERMIT_AHEAD_US: u64 = 2_000_000;

/// The time from the proposal of a switch to its hold step, in microseconds. It covers the way through the log, the
/// load of the weights and the votes, so that a switch normally stalls nothing.
const HOLD_LEAD_US: u64 = 10_000_000;

/// The least number of steps that permits cover.
const MIN_PERMIT_STEPS: u64 = 4;

/// How far permits and switches look ahead, in steps.
///
/// It follows from the settings alone and not from measured step times, so that every life of an agent knows how far
/// its former life may have permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookahead {
    permit_ahead: u64,
    hold_lead: u64,
}

impl Lookahead {
    /// Returns the pace of a group whose steps usually take `step_us` microseconds.
    pub fn from_step_us(step_us: u64) -> Self {
        let steps = |us: u64| (us / step_us.max(1)).max(MIN_PERMIT_STEPS);
        Self::new(steps(PERMIT_AHEAD_US), steps(HOLD_LEAD_US).max(5 * MIN_PERMIT_STEPS))
    }

    /// Returns the pace with permits for `permit_ahead` steps and hold steps `hold_lead` steps ahead.
    ///
    /// The lead must exceed the permits, because no agent may vote for a hold step that it has permitted.
    pub fn new(permit_ahead: u64, hold_lead: u64) -> Self {
        invariant!(
            "hold-lead-exceeds-permits",
            hold_lead > permit_ahead,
            "a hold step {hold_lead} steps ahead with permits for {permit_ahead} steps"
        );
        Self { permit_ahead, hold_lead }
    }

    /// Returns how many steps beyond the present one are permitted at most.
    pub fn permit_ahead(self) -> u64 {
        self.permit_ahead
    }

    /// Returns how many steps beyond the present one a proposed hold step lies.
    pub fn hold_lead(self) -> u64 {
        self.hold_lead
    }
}
