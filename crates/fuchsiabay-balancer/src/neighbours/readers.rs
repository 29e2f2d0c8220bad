//! Which instances read the store for the others.

use std::net::SocketAddr;

use fuchsiabay_base::Fingerprint;

/// The least number of readers. When one is lost, the others still hear from the second one.
const MIN_READERS: usize = 2;

/// Instances that one reader informs.
const INFORMED_PER_READER: usize = 16;

/// Readers that an instance asks.
const ASKED_READERS: usize = 2;

/// The instances that read the store for the others.
///
/// Every instance chooses them from the members that it knows. Different views only cause a few more reads, because an
/// instance that no reader informs in time reads by itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReaders(Vec<SocketAddr>);

impl StoreReaders {
    /// Chooses among `members`, for `instances` instances. Some instances may be no known members.
    pub fn choose(members: &[SocketAddr], instances: usize) -> Self {
        let mut readers = members.to_vec();
        readers.sort_by_cached_key(|member| rank(b"reader", *member));
        readers.dedup();
        readers.truncate(MIN_READERS.max(instances.div_ceil(INFORMED_PER_READER)));
        Self(readers)
    }

    /// Returns whether the instance at `addr` reads the store.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        self.0.contains(&addr)
    }

    /// Returns the readers that the instance at `own` asks. None if it is a reader.
    pub fn asked_by(&self, own: SocketAddr) -> Vec<SocketAddr> {
        if self.contains(own) {
            return Vec::new();
        }
        let mut readers = self.0.clone();
        readers.sort_by_cached_key(|reader| rank(own.to_string().as_bytes(), *reader));
        readers.truncate(ASKED_READERS);
        readers
    }
}

/// Rendezvous hashing: a member that joins or leaves changes the choice of few others.
fn rank(purpose: &[u8], addr: SocketAddr) -> (Fingerprint, SocketAddr) {
    (Fingerprint::of(&[purpose, addr.to_string().as_bytes()]), addr)
}
