//! The zones that the operator has drained.

use std::collections::{BTreeMap, BTreeSet};

use fuchsiabay_base::ZoneName;
use serde::{Deserialize, Serialize};

use crate::StorePosition;

/// The number of epochs of the store whose latest listing is kept. Only a record that arrives from an epoch before them is no
/// longer compared with the listings of its epoch, and the store rarely returns from a copy.
const MAX_LISTED_EPOCHS: usize = 4;

/// The newest record of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct ZoneRecord {
    /// A position at which the record was the newest one of its zone.
    #[serde(flatten)]
    position: StorePosition,
    /// Whether the record drains the zone. False after its removal.
    is_drained: bool,
}

impl ZoneRecord {
    /// Returns whether this record replaces `other`. Of two records at one position, the one that drains the zone counts,
    /// because the pages of a listing can be read after its position.
    fn replaces(&self, other: &Self) -> bool {
        self.position.is_after(other.position)
            || self.position == other.position && self.is_drained && !other.is_drained
    }
}

/// The newest record of each zone, and the latest full listing of each epoch of the store.
///
/// Both only ever move to later positions, so instances that have merged the same updates in any order agree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainedZones {
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    records: BTreeMap<ZoneName, ZoneRecord>,
    /// The offset of the latest full listing of each epoch.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    listings: BTreeMap<u64, u64>,
}

impl DrainedZones {
    /// Applies the write (`is_drained`) or the removal of the record of `zone` at `position`.
    pub fn apply(&mut self, zone: ZoneName, is_drained: bool, position: StorePosition) {
        self.merge_record(zone, ZoneRecord { position, is_drained });
    }

    /// Applies a full listing of the records at `position`. Drains that it does not contain end if their records were read at an
    /// earlier position of the same epoch. A listing of a later epoch ends none, because the copy from which the store returned
    /// may be older than the record.
    pub fn apply_listing(&mut self, drained: impl IntoIterator<Item = ZoneName>, position: StorePosition) {
        drained.into_iter().for_each(|zone| self.apply(zone, true, position));
        self.merge_listing(position);
    }

    /// Merges the state of another instance.
    pub fn merge(&mut self, other: &Self) {
        for (zone, record) in &other.records {
            self.merge_record(zone.clone(), *record);
        }
        for (epoch, offset) in &other.listings {
            self.merge_listing(StorePosition { epoch: *epoch, offset: *offset });
        }
    }

    /// Returns the zones that are drained.
    pub fn drained(&self) -> BTreeSet<ZoneName> {
        self.records.keys().filter(|zone| self.is_drained(zone)).cloned().collect()
    }

    /// Returns whether `zone` is drained.
    pub fn is_drained(&self, zone: &ZoneName) -> bool {
        self.records
            .get(zone)
            .is_some_and(|record| record.is_drained && self.end_in_listing(record).is_none())
    }

    /// Returns the position of the record or the listing that determines whether `zone` is drained. None if there is none.
    pub fn position(&self, zone: &ZoneName) -> Option<StorePosition> {
        let record = self.records.get(zone)?;
        Some(self.end_in_listing(record).unwrap_or(record.position))
    }

    /// Returns the state to send in a request to another instance: nothing if no record is known.
    pub fn to_request(&self) -> Self {
        if self.records.is_empty() { Self::default() } else { self.clone() }
    }

    /// Returns the state to send to an instance that has sent `known`: nothing if that instance lacks nothing, or if no record is
    /// known to either.
    pub fn to_reply(&self, known: &Self) -> Self {
        let is_known = self == known || self.records.is_empty() && known.records.is_empty();
        if is_known { Self::default() } else { self.clone() }
    }

    /// Returns whether the state is empty, as in a request or a reply without a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.listings.is_empty()
    }

    fn merge_record(&mut self, zone: ZoneName, record: ZoneRecord) {
        let known = self.records.entry(zone).or_insert(record);
        if record.replaces(known) {
            *known = record;
        }
    }

    fn merge_listing(&mut self, position: StorePosition) {
        let offset = self.listings.entry(position.epoch).or_default();
        *offset = position.offset.max(*offset);
        while self.listings.len() > MAX_LISTED_EPOCHS {
            self.listings.pop_first();
        }
    }

    /// Returns the position of the listing that ends the drain of `record`. A listing that contained the record would have moved
    /// its position.
    fn end_in_listing(&self, record: &ZoneRecord) -> Option<StorePosition> {
        let position = record.position;
        let offset = *self.listings.get(&position.epoch)?;
        (record.is_drained && offset > position.offset).then_some(StorePosition { offset, ..position })
    }
}
