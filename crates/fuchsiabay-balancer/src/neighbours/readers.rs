//! The choice of the instances that read the store for the others.

use std::net::SocketAddr;

use fuchsiabay_base::Fingerprint;

/// The minimum number of readers. If one fails, the second one still informs the other instances.
const MIN_READERS: usize = 2;

/// The number of instances for each reader.
const INSTANCES_PER_READER: usize = 16;

/// The number of readers that also write to the store. With more, most writes would be refused, because another one came first.
const WRITERS: usize = 2;

/// The number of readers that an instance calls.
const CALLED_READERS: usize = 2;

/// The instances that read the store for the others.
///
/// Every instance chooses them from the members that it knows. Differing views only cause a few more reads, because an
/// instance that no reader informs in time reads the store itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReaders(Vec<SocketAddr>);

impl StoreReaders {
    /// Chooses the readers for `instances` instances from `members`, which may lack some of the instances.
    pub fn choose(members: &[SocketAddr], instances: usize) -> Self {
        let mut readers = members.to_vec();
        readers.sort_by_cached_key(|member| rendezvous_key(b"reader", *member));
        readers.dedup();
        readers.truncate(MIN_READERS.max(instances.div_ceil(INSTANCES_PER_READER)));
        Self(readers)
    }

    /// Returns whether the instance at `addr` reads the store.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        self.0.contains(&addr)
    }

    /// Returns whether the instance at `addr` writes what all instances know to the store.
    pub fn is_writer(&self, addr: SocketAddr) -> bool {
        self.0.iter().take(WRITERS).any(|writer| *writer == addr)
    }

    /// Returns the readers that the instance at `caller` calls. Empty if it is a reader itself.
    pub fn called_by(&self, caller: SocketAddr) -> Vec<SocketAddr> {
        if self.contains(caller) {
            return Vec::new();
        }
        let mut readers = self.0.clone();
        readers.sort_by_cached_key(|reader| rendezvous_key(caller.to_string().as_bytes(), *reader));
        readers.truncate(CALLED_READERS);
        readers
    }
}

/// Returns the sort key for rendezvous hashing: a member that joins or leaves changes the choice for few instances.
pub(super) fn rendezvous_key(salt: &[u8], addr: SocketAddr) -> (Fingerprint, SocketAddr) {
    (Fingerprint::of(&[salt, addr.to_string().as_bytes()]), addr)
}
