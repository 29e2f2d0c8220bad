//! Selection of the entry instances that read the log.

use std::collections::BTreeMap;

use fuchsiabay_base::{Fingerprint, InstanceId, ZoneName};

/// The number of readers in each availability zone. With two, the zone's configuration stays confirmed if one fails.
pub const READERS_PER_ZONE: usize = 2;

/// The entry instances that read the log: in each availability zone, the two live ones with the lowest rendezvous
/// hash.
///
/// Every process computes them from its own copy of the instance list. Copies that differ temporarily only cause a
/// few more or fewer reads, because any entry instance responds to pulls with the age of its own last confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readers {
    by_zone: BTreeMap<ZoneName, Vec<InstanceId>>,
}

impl Readers {
    /// Chooses the readers from the live entry instances.
    pub fn choose<'a>(live_entries: impl IntoIterator<Item = (&'a InstanceId, &'a ZoneName)>) -> Self {
        let mut by_zone: BTreeMap<ZoneName, Vec<InstanceId>> = BTreeMap::new();
        for (instance, zone) in live_entries {
            by_zone.entry(zone.clone()).or_default().push(instance.clone());
        }
        for (zone, instances) in &mut by_zone {
            instances.sort_by_cached_key(|instance| rendezvous_hash(zone, instance));
            instances.dedup();
            instances.truncate(READERS_PER_ZONE);
        }
        Self { by_zone }
    }

    /// Returns whether `instance` reads the log.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.by_zone.values().flatten().any(|reader| reader == instance)
    }

    /// Returns the readers in `zone`, in ascending order of their rendezvous hash.
    pub fn in_zone(&self, zone: &ZoneName) -> &[InstanceId] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns all readers.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceId> {
        self.by_zone.values().flatten()
    }
}

fn rendezvous_hash(zone: &ZoneName, instance: &InstanceId) -> (Fingerprint, InstanceId) {
    (
        Fingerprint::of(&[b"config-reader", zone.as_str().as_bytes(), instance.as_str().as_bytes()]),
        instance.clone(),
    )
}
