//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
