//! Points in time with millisecond resolution.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds since an epoch that the caller chooses.
///
/// Daemons use the Unix epoch for timestamps that leave the process and a monotonic epoch for internal deadlines;
/// randomised runs use virtual time. A stored `Timestamp` in the future is a deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The epoch itself.
    pub const ZERO: Self = Self(0);

    /// Returns the timestamp `ms` milliseconds after the epoch.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the point `ms` milliseconds later, saturating at the largest timestamp.
    #[must_use]
    pub const fn plus_millis(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the point `ms` milliseconds earlier, saturating at the epoch.
    #[must_use]
    pub const fn minus_millis(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds from `earlier` to this point, or zero when `earlier` is later.
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
