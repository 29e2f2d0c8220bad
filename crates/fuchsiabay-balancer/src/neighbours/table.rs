//! The known neighbours and the state received from them.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::{InstanceId, Timestamp, ZoneName, is_mechanism_enabled};
use serde::{Deserialize, Serialize};

use super::{
    ServerPreference, Sharers, StoreReaders, demand::NeighbourDemand, readers::rendezvous_key,
    sharers::DEFAULT_INSTANCES,
};
use crate::InstanceRank;

/// How long the loads reported by a neighbour are used, in milliseconds.
pub(super) const LOADS_LIFETIME_MS: u64 = 1_500;

/// How long a neighbour is kept after it was last listed or took part in an exchange, in milliseconds.
const NEIGHBOUR_TIMEOUT_MS: u64 = 30_000;

/// How long an instance counts towards those that share the limits of servers after it was last listed or took part in an exchange,
/// in milliseconds. An instance that is cut off continues to send requests.
const SHARER_TIMEOUT_MS: u64 = 60_000;

/// How long the default number of instances is the least one after the store first listed any, in milliseconds. A store that has
/// just started lists only those that have renewed their leases since.
const LISTING_SETTLE_MS: u64 = 5_000;

/// The maximum number of neighbours called in one round in addition to the readers. It bounds the cost of a round when
/// there are many instances.
const CALLS_PER_ROUND: usize = 8;

/// A revision of a part of one instance's state, such as its directory. The instance sends what changed after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateMark {
    /// Identifies the state. It changes when the instance restarts.
    pub source: u64,
    /// The revision of the state.
    pub revision: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Neighbour {
    known_until: Timestamp,
    loads_until: Option<Timestamp>,
    config_version: u64,
    loads: HashMap<InstanceId, u32>,
    zone: Option<ZoneName>,
    /// The digest of the neighbour's list of servers.
    server_list: Option<u32>,
    /// What the neighbour reported last about its demand. None from an instance of an earlier version.
    pub(super) demand: Option<NeighbourDemand>,
    mark: Option<StateMark>,
    /// The revision up to which the neighbour's crashes were received.
    crash_mark: Option<StateMark>,
    /// The revision up to which this instance's crashes were sent to the neighbour.
    crashes_sent: u64,
}

/// The neighbours of one instance.
#[derive(Clone, Debug)]
pub struct Neighbours {
    own_addr: SocketAddr,
    pub(super) neighbours: HashMap<SocketAddr, Neighbour>,
    readers: StoreReaders,
    /// The members that the store listed last.
    members: Vec<SocketAddr>,
    /// The other instances that share the limits of servers, and until when they count.
    sharers: HashMap<SocketAddr, Timestamp>,
    /// When the store first listed members.
    first_listed_at: Option<Timestamp>,
    round: usize,
}

impl Neighbours {
    /// Creates an empty table for the instance that listens for calls at `own_addr`.
    pub fn new(own_addr: SocketAddr) -> Self {
        Self {
            own_addr,
            neighbours: HashMap::new(),
            readers: StoreReaders::default(),
            members: Vec::new(),
            sharers: HashMap::new(),
            first_listed_at: None,
            round: 0,
        }
    }

    /// Adds the instances at `addrs` or restarts their timeout, and drops the neighbours whose timeout has passed.
    pub fn refresh(&mut self, addrs: impl IntoIterator<Item = SocketAddr>, now: Timestamp) {
        for addr in addrs {
            self.neighbours.entry(addr).or_default().known_until = now.plus_millis(NEIGHBOUR_TIMEOUT_MS);
        }
        self.neighbours.retain(|_, neighbour| neighbour.known_until > now);
    }

    /// Sets the members that the store lists, out of `instances` instances.
    pub fn set_members(&mut self, members: &[SocketAddr], instances: usize, now: Timestamp) {
        self.refresh(members.iter().copied(), now);
        self.readers = StoreReaders::choose(members, instances);
        self.members = members.to_vec();
        if !members.is_empty() {
            self.first_listed_at.get_or_insert(now);
        }
        members.iter().for_each(|addr| self.add_sharer(*addr, now));
        // Without a list from the store, this instance is cut off and keeps those that it knows.
        self.sharers.retain(|_, until| *until > now);
    }

    /// Returns the instances that share the limits of servers: those known within the last 60 s, and at least the default number
    /// until the list of the store is complete.
    pub fn sharers(&self, now: Timestamp) -> Sharers {
        let is_settled = self.first_listed_at.is_some_and(|at| now.millis_since(at) >= LISTING_SETTLE_MS);
        let least = if is_settled { 1 } else { DEFAULT_INSTANCES };
        Sharers::new(self.own_addr, self.sharers.keys().copied().collect(), least)
    }

    fn add_sharer(&mut self, addr: SocketAddr, now: Timestamp) {
        if addr != self.own_addr {
            self.sharers.insert(addr, now.plus_millis(SHARER_TIMEOUT_MS));
        }
    }

    /// Returns the rank of this instance among those that share the limit of a server, in rendezvous order. Without a list from
    /// the store, the known neighbours share it.
    pub fn rank_at(&self, server: &InstanceId) -> InstanceRank {
        let known = if self.members.is_empty() { self.addrs() } else { self.members.clone() };
        let own_key = rendezvous_key(server.as_str().as_bytes(), self.own_addr);
        let others = || known.iter().filter(|addr| **addr != self.own_addr);
        let is_before = |addr: &&SocketAddr| rendezvous_key(server.as_str().as_bytes(), **addr) < own_key;
        InstanceRank { rank: others().filter(is_before).count(), instances: others().count() + 1 }
    }

    /// Records the zone that the instance at `addr` stated, if any.
    pub fn record_zone(&mut self, addr: SocketAddr, zone: Option<ZoneName>) {
        let neighbour = self.neighbours.entry(addr).or_default();
        neighbour.zone = zone.or(neighbour.zone.take());
    }

    /// Records the digest of the list of servers that the instance at `addr` stated, if any.
    pub fn record_server_list(&mut self, addr: SocketAddr, digest: Option<u32>) {
        self.neighbours.entry(addr).or_default().server_list = digest;
    }

    /// Returns the digest of the list of servers that the instance at `addr` stated last. None if it only reads the full form of
    /// loads.
    pub fn server_list(&self, addr: SocketAddr) -> Option<u32> {
        self.neighbours.get(&addr)?.server_list
    }

    /// Returns the servers that this instance prefers among the instances of its zone, `own_zone`. Instances whose zone is not
    /// known may be in it, too.
    pub fn server_preference(&self, own_zone: &ZoneName) -> ServerPreference {
        let known = if self.members.is_empty() { self.addrs() } else { self.members.clone() };
        let is_elsewhere = |addr: &SocketAddr| {
            let zone = self.neighbours.get(addr).and_then(|neighbour| neighbour.zone.as_ref());
            zone.is_some_and(|zone| zone != own_zone)
        };
        let others = known.into_iter().filter(|addr| *addr != self.own_addr && !is_elsewhere(addr));
        ServerPreference::new(self.own_addr, others.collect())
    }

    /// Stores what the instance at `addr` sent in an exchange.
    pub fn record_exchange(
        &mut self,
        addr: SocketAddr,
        config_version: u64,
        loads: HashMap<InstanceId, u32>,
        now: Timestamp,
    ) {
        self.record_contact(addr, config_version, now);
        let neighbour = self.neighbours.entry(addr).or_default();
        neighbour.loads_until = Some(now.plus_millis(LOADS_LIFETIME_MS));
        neighbour.loads = loads;
    }

    /// Records an exchange with the instance at `addr` whose loads cannot be read. Its last loads are used as long as if there had
    /// been no exchange.
    pub fn record_contact(&mut self, addr: SocketAddr, config_version: u64, now: Timestamp) {
        let neighbour = self.neighbours.entry(addr).or_default();
        neighbour.known_until = now.plus_millis(NEIGHBOUR_TIMEOUT_MS);
        neighbour.config_version = config_version;
        self.add_sharer(addr, now);
    }

    /// Sets the revision up to which the directory of the instance at `addr` was received.
    pub fn set_mark(&mut self, addr: SocketAddr, mark: StateMark) {
        self.neighbours.entry(addr).or_default().mark = Some(mark);
    }

    /// Returns the revision up to which the directory of the instance at `addr` was received.
    pub fn mark(&self, addr: SocketAddr) -> Option<StateMark> {
        self.neighbours.get(&addr)?.mark
    }

    /// Forgets which changes of the neighbours' directories were received, so that the whole directories are received next.
    pub fn clear_marks(&mut self) {
        self.neighbours.values_mut().for_each(|neighbour| neighbour.mark = None);
    }

    /// Records an exchange of crashes with the instance at `addr`: those of the neighbour were received up to `mark`, and those
    /// of this instance were sent up to the revision `sent`.
    pub fn record_crash_exchange(&mut self, addr: SocketAddr, mark: StateMark, sent: u64) {
        let neighbour = self.neighbours.entry(addr).or_default();
        // A restarted neighbour knows only what was sent to it since then.
        let has_restarted = neighbour.crash_mark.is_some_and(|known| known.source != mark.source);
        neighbour.crashes_sent = if has_restarted { 0 } else { sent };
        neighbour.crash_mark = Some(mark);
    }

    /// Returns the revision up to which the crashes of the instance at `addr` were received.
    pub fn crash_mark(&self, addr: SocketAddr) -> Option<StateMark> {
        self.neighbours.get(&addr)?.crash_mark
    }

    /// Returns the revision up to which the crashes of this instance were sent to the one at `addr`.
    pub fn crashes_sent(&self, addr: SocketAddr) -> u64 {
        self.neighbours.get(&addr).map_or(0, |neighbour| neighbour.crashes_sent)
    }

    /// Returns whether this instance reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.readers.contains(self.own_addr)
    }

    /// Returns whether this instance writes what all instances know to the store.
    pub fn is_writer(&self) -> bool {
        self.readers.is_writer(self.own_addr)
    }

    /// Returns the addresses of the other instances.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> =
            self.neighbours.keys().copied().filter(|addr| *addr != self.own_addr).collect();
        addrs.sort_unstable();
        addrs
    }

    /// Returns the neighbours to call in the next round. `version` is the configuration version of this instance, and
    /// `is_stale` states whether its state is no longer confirmed to be current.
    ///
    /// A call carries the loads in both directions. An instance that is not a reader calls its readers. Of any other
    /// two instances, the one with the lower address calls. Neighbours with a newer configuration are always called,
    /// and an instance with stale state calls all others. If the calls exceed the limit of a round, the neighbours
    /// take turns.
    pub fn next_round(&mut self, version: u64, is_stale: bool) -> Vec<SocketAddr> {
        let called_readers = self.readers.called_by(self.own_addr);
        let is_reader = self.is_reader();
        let should_call = |addr: &SocketAddr| {
            let calls_this_instance = is_reader && !self.readers.contains(*addr);
            let is_ahead = self.neighbours.get(addr).is_some_and(|n| n.config_version > version);
            is_stale && is_mechanism_enabled("ask-everybody")
                || is_ahead
                || self.own_addr < *addr && !calls_this_instance
        };
        let others: Vec<SocketAddr> = self
            .addrs()
            .into_iter()
            .filter(|addr| !called_readers.contains(addr) && should_call(addr))
            .collect();
        let n = others.len().min(CALLS_PER_ROUND);
        let start = self.round * CALLS_PER_ROUND;
        self.round = self.round.wrapping_add(1);
        let in_turn = (0..n).map(|i| others[(start + i) % others.len()]);
        called_readers.iter().copied().chain(in_turn).collect()
    }

    /// Returns neighbours to call at once with what must not be lost if this instance ends, whoever calls otherwise.
    pub fn next_urgent_calls(&self) -> Vec<SocketAddr> {
        let addrs = self.addrs();
        let start = addrs.partition_point(|addr| *addr < self.own_addr);
        (0..addrs.len().min(CALLS_PER_ROUND)).map(|i| addrs[(start + i) % addrs.len()]).collect()
    }

    /// Returns the number of requests of all neighbours at each server, and the number of neighbours that reported.
    pub fn loads(&self, now: Timestamp) -> (HashMap<InstanceId, u32>, usize) {
        let mut sum: HashMap<InstanceId, u32> = HashMap::new();
        let mut reporters = 0;
        for neighbour in self.neighbours.values() {
            if neighbour.loads_until.is_none_or(|until| until <= now) {
                continue;
            }
            reporters += 1;
            for (server, load) in &neighbour.loads {
                *sum.entry(server.clone()).or_default() += load;
            }
        }
        (sum, reporters)
    }
}
