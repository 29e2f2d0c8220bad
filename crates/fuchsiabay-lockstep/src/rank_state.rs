//! The state that a rank reports.

/// The longest time by which reported states lag behind, in milliseconds.
pub(crate) const REPORT_LAG_MS: u64 = 500;

/// A map that a rank is armed with and will switch to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArmedMap {
    /// The version of the map.
    pub version: u64,
    /// The step at which the rank switches. `None` if the rank does not report it.
    pub step: Option<u64>,
}

/// The state of one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RankState {
    /// The epoch of the group, which increases each time the group is re-formed.
    pub epoch: u64,
    /// The index of the rank in its group.
    pub rank: u16,
    /// The number of ranks in the group.
    pub group_size: u16,
    /// Whether the group accepts requests.
    pub is_open: bool,
    /// The slowdown factor of the rank: 1 is normal speed, 2 is half of it.
    pub slowdown: f64,
    /// The last step that has begun.
    pub step: u64,
    /// The version of the map in use. 0 until the first switch.
    pub map_version: u64,
    /// The version whose experts have been copied.
    pub prepared: Option<u64>,
    /// The version that the rank will switch to.
    pub armed: Option<ArmedMap>,
    /// The step that this rank holds.
    pub held: Option<u64>,
}

impl RankState {
    /// Returns the highest version that the rank has, or has prepared.
    pub fn highest_version(&self) -> u64 {
        self.map_version.max(self.prepared.unwrap_or(0))
    }

    /// Returns whether no order has taken effect on the rank since its group was formed.
    pub const fn is_initial(&self) -> bool {
        self.map_version == 0 && self.prepared.is_none() && self.armed.is_none() && self.held.is_none()
    }
}
