//! The records that backend servers publish in the directory.

use std::net::SocketAddr;

use fuchsiabay_base::{InstanceId, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server is leaving and must get no new requests.
    Draining,
}

/// The latest heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRecord {
    /// The server.
    pub id: InstanceId,
    /// The service to which the server belongs.
    pub service: ServiceName,
    /// The address at which the server accepts requests.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub zone: ZoneName,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// When this incarnation of the server started, in milliseconds since the Unix epoch. Zero if unknown.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The sequence number of the heartbeat within this incarnation.
    pub seq: u64,
    /// For how long the server stays cold after this heartbeat, in milliseconds. Zero if it does not state that it is cold.
    #[serde(default)]
    pub cold_left_ms: u64,
}

impl ServerRecord {
    /// Returns the key that orders the records of one server, first by incarnation and then by heartbeat.
    pub const fn version_key(&self) -> (u64, u64) {
        (self.started_at_ms, self.seq)
    }

    /// Returns whether the records differ at most in the sequence number. Two heartbeats that state that the server is cold always
    /// differ, because each of them restarts the countdown.
    pub fn eq_ignoring_seq(&self, other: &Self) -> bool {
        let Self { id, service, address, zone, slots, state, started_at_ms, seq, cold_left_ms } = self;
        let is_warm = *cold_left_ms == 0 && other.cold_left_ms == 0;
        (id, service, address, zone) == (&other.id, &other.service, &other.address, &other.zone)
            && (*slots, *state, *started_at_ms) == (other.slots, other.state, other.started_at_ms)
            && (is_warm || (*cold_left_ms, *seq) == (other.cold_left_ms, other.seq))
    }
}
