//! Mechanisms that randomised runs can disable, one at a time.
//!
//! If a promise still holds while the mechanism that enforces it is disabled, the run does not test that mechanism.

#[cfg(feature = "ablation")]
use std::cell::Cell;

#[cfg(feature = "ablation")]
thread_local! {
    static DISABLED: Cell<[Option<&'static str>; 2]> = const { Cell::new([None; 2]) };
}

/// Returns whether the mechanism `name` is enabled. Always true without the `ablation` feature.
#[cfg(not(feature = "ablation"))]
#[inline(always)]
pub const fn is_mechanism_enabled(_name: &'static str) -> bool {
    true
}

/// Returns whether the mechanism `name` is enabled.
#[cfg(feature = "ablation")]
pub fn is_mechanism_enabled(name: &'static str) -> bool {
    !DISABLED.get().contains(&Some(name))
}

/// Disables the mechanisms of these names on this thread and enables all others.
#[cfg(feature = "ablation")]
pub fn disable_mechanisms(names: [Option<&'static str>; 2]) {
    DISABLED.set(names);
}
