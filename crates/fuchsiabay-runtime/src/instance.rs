//! Entries of the platform's instance list.

use std::net::SocketAddr;

use fuchsiabay_base::{Generation, InstanceId, ServiceName, ZoneName};
use fuchsiabay_wire::Role;
use serde::{Deserialize, Serialize};

/// Whether an instance accepts new requests. The list lags, so the state may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It accepts new requests.
    Live,
    /// It is shutting down and accepts no new requests.
    Leaving,
}

/// An instance in the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Its id.
    pub id: InstanceId,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneName,
    /// For an agent, the service that its backend server offers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The address at which it accepts peer connections.
    pub peer: SocketAddr,
    /// The generation of its current incarnation, or an older one if the list lags.
    pub generation: Generation,
    /// Whether it accepts new requests.
    pub state: InstanceState,
}
