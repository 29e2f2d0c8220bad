//! What a rank says of itself.

/// A map that a rank will switch to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArmedMap {
    /// The version of the map.
    pub version: u64,
    /// The step that it starts with. None when the rank does not say.
    pub step: Option<u64>,
}

/// The state of one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RankState {
    /// Counts the times that the group was formed anew.
    pub epoch: u64,
    /// The rank.
    pub rank: u16,
    /// The ranks of the group.
    pub group_size: u16,
    /// Whether the group takes requests.
    pub is_open: bool,
    /// How much slower than usual the rank works. 1 is usual.
    pub pace: f64,
    /// The last step that was begun.
    pub step: u64,
    /// The version of the map in use.
    pub map_version: u64,
    /// The version whose experts have been copied.
    pub prepared: Option<u64>,
    /// The version that the rank will switch to.
    pub armed: Option<ArmedMap>,
    /// The step that this rank holds back.
    pub held: Option<u64>,
}

impl RankState {
    /// Returns whether the rank has had no orders since its group was formed.
    pub const fn is_initial(&self) -> bool {
        self.map_version == 0 && self.prepared.is_none() && self.armed.is_none() && self.held.is_none()
    }
}
