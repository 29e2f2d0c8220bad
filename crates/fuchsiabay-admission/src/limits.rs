//! The scheduler's limits, taken from the preset in force.

use serde::{Deserialize, Serialize};

use crate::JobClass;

/// The limits that the scheduler enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Jobs that may run at the same time.
    pub slots: u32,
    /// Jobs that may wait.
    pub queue_limit: u32,
    /// The share of the slots that long work may hold while short work waits, in percent.
    pub long_share_percent: u32,
    /// After waiting this long, long work takes precedence over short work, within its share.
    pub ageing_ms: u64,
    /// Work estimated above this number of tokens is long.
    pub long_work_tokens: u32,
    /// When short work has waited this long, a long job beyond the share of long work is paused. `None` disables
    /// pausing.
    pub pause_after_ms: Option<u64>,
}

impl Limits {
    /// Returns the class of work that is expected to cost `tokens`.
    pub const fn class(&self, tokens: u32) -> JobClass {
        if tokens > self.long_work_tokens { JobClass::Long } else { JobClass::Short }
    }

    /// Returns the number of slots that long work may hold while short work waits: at least one, so that long work
    /// finishes too.
    pub const fn long_slots(&self) -> u32 {
        let share = (self.slots as u64 * self.long_share_percent as u64 / 100) as u32;
        if share == 0 { 1 } else { share }
    }
}
