//! What a backend server says of itself.

use std::net::SocketAddr;

use fuchsiabay_base::{InstanceId, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It is leaving and must get no new work.
    Draining,
}

/// The latest heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRecord {
    /// The server.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// When this life of the server started, in milliseconds of the Unix epoch. Zero when unknown.
    pub born_ms: u64,
    /// Counts the heartbeats of this life.
    pub seq: u64,
}

impl ServerRecord {
    /// Returns the position among the records of one server: a later life goes before a later heartbeat.
    pub const fn age_key(&self) -> (u64, u64) {
        (self.born_ms, self.seq)
    }

    /// Returns whether the records differ at most in the count of heartbeats.
    pub fn says_the_same(&self, other: &Self) -> bool {
        let Self { id, service, address, zone, slots, state, born_ms, seq: _ } = self;
        (id, service, address, zone) == (&other.id, &other.service, &other.address, &other.zone)
            && (*slots, *state, *born_ms) == (other.slots, other.state, other.born_ms)
    }
}
