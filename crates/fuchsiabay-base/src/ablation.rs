//! Mechanisms that randomised runs can turn off, one at a time.
//!
//! A promise that survives without the mechanism said to keep it shows that the run does not test the mechanism.

#[cfg(feature = "ablation")]
use std::cell::Cell;

#[cfg(feature = "ablation")]
thread_local! {
    static OFF: Cell<Option<&'static str>> = const { Cell::new(None) };
}

/// Returns whether the mechanism `name` is at work. Always true without the `ablation` feature.
#[cfg(not(feature = "ablation"))]
#[inline(always)]
pub const fn is_mechanism_enabled(_name: &'static str) -> bool {
    true
}

/// Returns whether the mechanism `name` is at work.
#[cfg(feature = "ablation")]
pub fn is_mechanism_enabled(name: &'static str) -> bool {
    OFF.get() != Some(name)
}

/// Turns the mechanism `name` off in this thread, or every mechanism on with `None`.
#[cfg(feature = "ablation")]
pub fn disable_mechanism(name: Option<&'static str>) {
    OFF.set(name);
}
