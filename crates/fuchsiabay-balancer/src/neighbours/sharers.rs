//! The instances that share the limits of servers.

use std::net::SocketAddr;

use fuchsiabay_base::InstanceId;

use super::readers::rendezvous_key;
use crate::InstanceRank;

/// The number of instances that is assumed until the store has listed them.
pub(super) const DEFAULT_INSTANCES: usize = 16;

/// The instances that share the limits of servers, as far as this instance knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sharers {
    own_addr: Option<SocketAddr>,
    others: Vec<SocketAddr>,
    instances: usize,
}

impl Sharers {
    /// Creates the list for the instance at `own_addr`. There may be more `instances` than are known by address.
    pub(super) fn new(own_addr: SocketAddr, mut others: Vec<SocketAddr>, instances: usize) -> Self {
        others.sort_unstable();
        let instances = instances.max(others.len() + 1);
        Self { own_addr: Some(own_addr), others, instances }
    }

    /// Returns the number of instances.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Returns the rank of this instance at a server, in rendezvous order. Instances that are not known by address may come before
    /// it, and are counted so.
    pub fn rank_at(&self, server: &InstanceId) -> InstanceRank {
        let unknown = self.instances - 1 - self.others.len();
        let key = |addr: SocketAddr| rendezvous_key(server.as_str().as_bytes(), addr);
        let own_key = self.own_addr.map(key);
        let before = self.others.iter().filter(|addr| Some(key(**addr)) < own_key).count();
        InstanceRank { rank: before + unknown, instances: self.instances }
    }
}

impl Default for Sharers {
    fn default() -> Self {
        Self { own_addr: None, others: Vec::new(), instances: DEFAULT_INSTANCES }
    }
}
