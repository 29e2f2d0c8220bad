//! The neighbours that are known, and what they told.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::{InstanceId, Timestamp};
use fuchsiabay_runtime::monotonic_now;
use parking_lot::Mutex;

/// The time for which a neighbour's loads count, in milliseconds.
const LOADS_LIFE_MS: u64 = 1_500;

/// The time for which a neighbour is known after it was heard of, in milliseconds.
const KNOWN_MS: u64 = 30_000;

#[derive(Clone, Debug, Default)]
struct Neighbour {
    heard_at: Timestamp,
    told_at: Option<Timestamp>,
    config_version: u64,
    loads: HashMap<InstanceId, u32>,
}

/// The neighbours.
#[derive(Debug, Default)]
pub(crate) struct NeighbourTable {
    neighbours: Mutex<HashMap<SocketAddr, Neighbour>>,
}

impl NeighbourTable {
    /// Notes that there are instances at `addrs`.
    pub(crate) fn note_known(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let now = monotonic_now();
        let mut neighbours = self.neighbours.lock();
        for addr in addrs {
            neighbours.entry(addr).or_default().heard_at = now;
        }
        neighbours.retain(|_, neighbour| neighbour.heard_at.plus_millis(KNOWN_MS) > now);
    }

    /// Takes over what the instance at `addr` told.
    pub(crate) fn note_told(&self, addr: SocketAddr, config_version: u64, loads: HashMap<InstanceId, u32>) {
        let now = monotonic_now();
        let mut neighbours = self.neighbours.lock();
        let neighbour = neighbours.entry(addr).or_default();
        *neighbour = Neighbour { heard_at: now, told_at: Some(now), config_version, loads };
    }

    /// Returns the addresses.
    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> = self.neighbours.lock().keys().copied().collect();
        addrs.sort_unstable();
        addrs
    }

    /// Returns a neighbour that has a newer configuration than `version`.
    pub(crate) fn is_ahead(&self, addr: SocketAddr, version: u64) -> bool {
        self.neighbours.lock().get(&addr).is_some_and(|neighbour| neighbour.config_version > version)
    }

    /// Returns the requests of all neighbours at each server, and how many neighbours told of them.
    pub(crate) fn loads(&self) -> (HashMap<InstanceId, u32>, usize) {
        let now = monotonic_now();
        let mut sum: HashMap<InstanceId, u32> = HashMap::new();
        let mut tellers = 0;
        for neighbour in self.neighbours.lock().values() {
            if neighbour.told_at.is_none_or(|at| now.millis_since(at) > LOADS_LIFE_MS) {
                continue;
            }
            tellers += 1;
            for (server, load) in &neighbour.loads {
                *sum.entry(server.clone()).or_default() += load;
            }
        }
        (sum, tellers)
    }
}
