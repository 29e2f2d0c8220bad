//! Invariants that are checked at run time.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of invariant violations since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

#[doc(hidden)]
pub fn record_violation(name: &'static str, detail: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("fuchsiabay_invariant_violations_total", "invariant" => name).increment(1);
    log::error!("invariant: {name} violated: {detail}");
    if cfg!(feature = "panic-on-violation") {
        panic!("invariant {name} violated: {detail}");
    }
}

/// Checks an invariant. A violation is counted and logged, and panics if the `panic-on-violation` feature is enabled.
///
/// A daemon continues after a violation, because exiting would abort requests that are not affected by it.
#[macro_export]
macro_rules! invariant {
    ($name:literal, $condition:expr, $($detail:tt)+) => {
        if !$condition {
            $crate::record_violation($name, &format!($($detail)+));
        }
    };
}
