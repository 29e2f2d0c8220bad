//! The neighbours that are known, and what they told.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::{InstanceId, Timestamp, is_mechanism_enabled};
use serde::{Deserialize, Serialize};

use super::StoreReaders;

/// The time for which a neighbour's loads count, in milliseconds.
const LOADS_LIFE_MS: u64 = 1_500;

/// The time for which a neighbour is known after it was heard of, in milliseconds.
const KNOWN_MS: u64 = 30_000;

/// Neighbours that are called in one round. It bounds the cost where there are many.
const CALLS_PER_ROUND: usize = 8;

/// A state of one instance's directory. The instance tells what changed after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DirectoryMark {
    /// Names the directory. It changes when the instance starts anew.
    pub source: u64,
    /// Counts the changes of the directory.
    pub revision: u64,
}

#[derive(Clone, Debug, Default)]
struct Neighbour {
    known_until: Timestamp,
    loads_until: Option<Timestamp>,
    config_version: u64,
    loads: HashMap<InstanceId, u32>,
    mark: Option<DirectoryMark>,
}

/// The neighbours of one instance.
#[derive(Clone, Debug)]
pub struct Neighbours {
    own: SocketAddr,
    neighbours: HashMap<SocketAddr, Neighbour>,
    readers: StoreReaders,
    round: usize,
}

impl Neighbours {
    /// Creates the table of the instance that takes calls at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self { own, neighbours: HashMap::new(), readers: StoreReaders::default(), round: 0 }
    }

    /// Notes that there are instances at `addrs`.
    pub fn note_known(&mut self, addrs: impl IntoIterator<Item = SocketAddr>, now: Timestamp) {
        for addr in addrs {
            self.neighbours.entry(addr).or_default().known_until = now.plus_millis(KNOWN_MS);
        }
        self.neighbours.retain(|_, neighbour| neighbour.known_until > now);
    }

    /// Takes the members that the store names, of `instances` instances in all.
    pub fn set_members(&mut self, members: &[SocketAddr], instances: usize, now: Timestamp) {
        self.note_known(members.iter().copied(), now);
        self.readers = StoreReaders::choose(members, instances);
    }

    /// Takes over what the instance at `addr` told.
    pub fn note_exchange(
        &mut self,
        addr: SocketAddr,
        config_version: u64,
        loads: HashMap<InstanceId, u32>,
        now: Timestamp,
    ) {
        let neighbour = self.neighbours.entry(addr).or_default();
        neighbour.known_until = now.plus_millis(KNOWN_MS);
        neighbour.loads_until = Some(now.plus_millis(LOADS_LIFE_MS));
        neighbour.config_version = config_version;
        neighbour.loads = loads;
    }

    /// Notes up to which state the directory of the instance at `addr` was taken over.
    pub fn set_mark(&mut self, addr: SocketAddr, mark: DirectoryMark) {
        self.neighbours.entry(addr).or_default().mark = Some(mark);
    }

    /// Returns up to which state the directory of the instance at `addr` was taken over.
    pub fn mark(&self, addr: SocketAddr) -> Option<DirectoryMark> {
        self.neighbours.get(&addr)?.mark
    }

    /// Returns whether this instance reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.readers.contains(self.own)
    }

    /// Returns the addresses of the others.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> =
            self.neighbours.keys().copied().filter(|addr| *addr != self.own).collect();
        addrs.sort_unstable();
        addrs
    }

    /// Returns the neighbours to call in the next round. `lacks_news` says that this instance is left without news, and
    /// `version` is its configuration.
    ///
    /// One call carries the loads both ways. An instance that is no reader calls its readers, and of two others the one with
    /// the lower address calls.
    pub fn next_round(&mut self, version: u64, lacks_news: bool) -> Vec<SocketAddr> {
        let asked = self.readers.asked_by(self.own);
        let reads = self.is_reader();
        let is_wanted = |addr: &SocketAddr| {
            let calls_here = reads && !self.readers.contains(*addr);
            let is_ahead = self.neighbours.get(addr).is_some_and(|n| n.config_version > version);
            lacks_news && is_mechanism_enabled("ask-everybody") || is_ahead || self.own < *addr && !calls_here
        };
        let others: Vec<SocketAddr> =
            self.addrs().into_iter().filter(|addr| !asked.contains(addr) && is_wanted(addr)).collect();
        let n = others.len().min(CALLS_PER_ROUND);
        let start = self.round * CALLS_PER_ROUND;
        self.round = self.round.wrapping_add(1);
        let turn = (0..n).map(|i| others[(start + i) % others.len()]);
        asked.iter().copied().chain(turn).collect()
    }

    /// Returns the requests of all neighbours at each server, and how many neighbours told of them.
    pub fn loads(&self, now: Timestamp) -> (HashMap<InstanceId, u32>, usize) {
        let mut sum: HashMap<InstanceId, u32> = HashMap::new();
        let mut tellers = 0;
        for neighbour in self.neighbours.values() {
            if neighbour.loads_until.is_none_or(|until| until <= now) {
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
