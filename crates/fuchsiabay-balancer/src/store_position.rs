//! Positions in the store's change log.

use fuchsiabay_base::is_mechanism_enabled;
use serde::{Deserialize, Serialize};

/// A position in the store's change log.
///
/// When the store returns from a copy of its data, offsets are given out again for other changes. The epoch tells them apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StorePosition {
    /// The number that the store raises each time it returns from a copy. Zero if unknown.
    #[serde(default, rename = "store_epoch")]
    pub epoch: u64,
    /// The offset after the last change that is included.
    #[serde(rename = "position")]
    pub offset: u64,
}

impl StorePosition {
    /// Returns whether this position is later than `other`. Every position of an epoch is later than those of earlier epochs.
    pub fn is_after(self, other: Self) -> bool {
        if self.is_same_epoch(other) { self.offset > other.offset } else { self.epoch > other.epoch }
    }

    /// Returns whether the offsets of both positions number the same changes.
    pub fn is_same_epoch(self, other: Self) -> bool {
        self.epoch == other.epoch || !is_mechanism_enabled("store-epoch")
    }
}
