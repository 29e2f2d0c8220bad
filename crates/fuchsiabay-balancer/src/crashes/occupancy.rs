//! Which part of the servers runs a request.

use serde::{Deserialize, Serialize};

/// The average part of the servers of a service that run a request, in millionths. A server that crashes for another reason runs
/// the request with this probability.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Occupancy(u32);

impl Occupancy {
    /// The occupancy of a request that all servers run all the time.
    const FULL: u64 = 1_000_000;

    /// Returns the occupancy of a request that each server ran for `us` microseconds within `period_ms` milliseconds.
    pub(super) fn new(us: u64, period_ms: u64) -> Self {
        Self((us * (Self::FULL / 1_000) / period_ms.max(1)).min(Self::FULL) as u32)
    }

    /// Returns the occupancy of a request that several instances send.
    pub(super) fn sum(parts: impl Iterator<Item = Self>) -> Self {
        Self(parts.map(|part| u64::from(part.0)).sum::<u64>().min(Self::FULL) as u32)
    }

    /// Returns whether no server has survived the request.
    pub(super) const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the occupancy in millionths.
    pub const fn millionths(self) -> u32 {
        self.0
    }

    /// Returns an upper bound of the probability that the request runs on `hits` or more of `crashes` servers that crash for
    /// other reasons: the number of ways to choose them, each with the probability that all of them run it.
    pub(super) fn chance(self, hits: u32, crashes: u32) -> f64 {
        let probability = f64::from(self.0) / Self::FULL as f64;
        let factor = |i: u32| f64::from(crashes.saturating_sub(i)) / f64::from(i + 1) * probability;
        (0..hits).map(factor).product::<f64>().min(1.0)
    }
}
