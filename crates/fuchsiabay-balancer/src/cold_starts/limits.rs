//! The rate limit of cold servers, and how the instances share it.

use super::ColdStart;
use crate::InstanceRank;

/// The longest time for which a server counts as cold at once, in milliseconds. A longer statement is an error.
const MAX_COLD_MS: u64 = 60_000;

/// The maximum number of requests in one window. It bounds the memory for the times of recent requests.
const MAX_SHARED: f64 = 1_024.0;

/// By how much all instances together may exceed the rate that cold servers tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// The factor.
    pub overage: f64,
    /// The number of requests in any second in addition.
    pub slack: f64,
}

/// The rate limit of the cold servers of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartLimits {
    /// How long a server is cold, in milliseconds.
    pub(super) start_ms: u64,
    /// The number of requests that all instances together send to a cold server in a window.
    shared: usize,
    /// The same, for instances that have just started and do not know what they sent before. Both numbers together stay within the
    /// bound, so even a restart of all instances at once does not exceed it.
    shared_at_start: usize,
}

impl ColdStartLimits {
    /// Returns the limits. None if the configuration and the settings do not state both a rate and a tolerance.
    pub fn new(cold_start: Option<&ColdStart>, tolerance: Option<ColdTolerance>) -> Option<Self> {
        let (cold_start, tolerance) = (cold_start?, tolerance?);
        let per_s = cold_start.cold_per_s;
        let bound = per_s * tolerance.overage + tolerance.slack;
        if !(per_s > 0.0 && per_s.is_finite() && bound >= 0.0) {
            return None;
        }
        // A server that tolerates less than one request a second gets one in a window if the bound allows it.
        let bound = bound.min(2.0 * MAX_SHARED) as usize;
        let shared = (per_s.clamp(1.0, MAX_SHARED) as usize).min(bound);
        let shared_at_start = (bound - shared).min(shared);
        Some(Self { start_ms: cold_start.cold_start_ms.min(MAX_COLD_MS), shared, shared_at_start })
    }

    /// Returns the number of requests that the instance of `rank` may send to a cold server in a window.
    pub(super) fn share(&self, rank: InstanceRank, has_just_started: bool) -> usize {
        let shared = if has_just_started { self.shared_at_start } else { self.shared };
        if rank.instances > shared {
            return usize::from(rank.rank < shared);
        }
        shared / rank.instances.max(1)
    }

    /// Returns for how long a server is cold that states `left_ms`.
    pub(super) fn clamp_ms(left_ms: u64) -> u64 {
        left_ms.min(MAX_COLD_MS)
    }
}
