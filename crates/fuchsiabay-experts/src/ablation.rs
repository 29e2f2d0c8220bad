//! Switches that turn one mechanism off, to show that the randomised runs detect its absence.

#[cfg(feature = "ablation")]
use std::cell::Cell;

#[cfg(feature = "ablation")]
thread_local! {
    static NO_HOLD: Cell<bool> = const { Cell::new(false) };
    static NO_UNANIMITY: Cell<bool> = const { Cell::new(false) };
}

/// Lets gates permit steps beyond the hold step of an undecided switch.
#[cfg(feature = "ablation")]
pub fn disable_hold(disabled: bool) {
    NO_HOLD.set(disabled);
}

/// Lets a switch take effect with the first vote.
#[cfg(feature = "ablation")]
pub fn disable_unanimity(disabled: bool) {
    NO_UNANIMITY.set(disabled);
}

pub(crate) fn hold_enabled() -> bool {
    #[cfg(feature = "ablation")]
    return !NO_HOLD.get();
    #[cfg(not(feature = "ablation"))]
    true
}

pub(crate) fn unanimity_enabled() -> bool {
    #[cfg(feature = "ablation")]
    return !NO_UNANIMITY.get();
    #[cfg(not(feature = "ablation"))]
    true
}
