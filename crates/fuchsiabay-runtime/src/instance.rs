//! Entries of the platform's instance list.

use std::net::SocketAddr;

use fuchsiabay_base::{Generation, InstanceId, ServiceName, ZoneName};
use fuchsiabay_wire::Role;
use serde::{Deserialize, Serialize};

/// Whether an instance takes new work, as far as the lagging list knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It takes new work.
    Live,
    /// It is about to go.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// What it is.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service of the backend server beside an agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Where it accepts peer connections.
    pub peer: SocketAddr,
    /// Its life, as far as the list knows.
    pub generation: Generation,
    /// Whether it takes new work.
    pub state: InstanceState,
}
