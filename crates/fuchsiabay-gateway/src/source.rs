//! Interfaces to the deployment: sources of the configuration, the server directory and the membership.

use std::{future::Future, net::SocketAddr};

use fuchsiabay_balancer::{CrashRecord, ServerChange, ServerRecord, ServingConfig, StorePosition};
use fuchsiabay_base::ZoneName;
use fuchsiabay_lockstep::LeaseTerm;

use crate::EngineControl;

/// Why a read of the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SourceError {
    /// The store did not respond in time, or refused the call.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The response of the store cannot be parsed.
    #[error("malformed response from the store: {0}")]
    Malformed(String),
}

/// The result of waiting for a new configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    /// The newest configuration, if it was not returned before.
    pub config: Option<ServingConfig>,
    /// What was read about drained zones. It is at least as recent as the configuration.
    pub drained_zones: DrainedZonesUpdate,
    /// Minimum time for which the store held the call open, in milliseconds. Nothing changed during that time.
    pub waited_ms: u64,
}

/// An update of the drained zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainedZonesUpdate {
    /// The position in the store's change log at which `records` are all that existed. None if they are the changes since the last
    /// update.
    pub listing: Option<StorePosition>,
    /// The position of each record, its zone, and whether it drains the zone. Otherwise it was removed.
    pub records: Vec<(StorePosition, ZoneName, bool)>,
}

/// Source of the configuration and of the drained zones.
pub trait ConfigSource: Send + 'static {
    /// Waits for a limited time for a configuration or a change of the drained zones that was not returned before. The time between calls may be long.
    fn next(&mut self) -> impl Future<Output = Result<ConfigUpdate, SourceError>> + Send;
}

/// An update of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUpdate {
    /// All servers that were registered at a position in the store's change log.
    Listing {
        /// The newest record of each server.
        records: Vec<ServerRecord>,
        /// The position.
        position: StorePosition,
    },
    /// The changes since the last update, each with its position.
    Changes(Vec<(StorePosition, ServerChange)>),
}

/// Source of the directory of backend servers.
pub trait ServerSource: Send + 'static {
    /// Returns what changed since the last call.
    fn poll(&mut self) -> impl Future<Output = Result<ServerUpdate, SourceError>> + Send;
}

/// The membership of the entry instances, as returned by a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// Addresses at which the members accept calls from their neighbours.
    pub members: Vec<SocketAddr>,
    /// Whether this instance is the coordinator.
    pub is_coordinator: bool,
    /// The term, which changes with the membership. No two processes are the coordinator in the same term.
    pub term: LeaseTerm,
}

/// Maintains the membership of this instance among the entry instances.
pub trait MembershipSource: Send + 'static {
    /// Returns whether the store still lists a previous process of this instance as the coordinator. Called before the first
    /// renewal, which would continue the membership of that process.
    fn is_predecessor_coordinator(&mut self) -> impl Future<Output = Result<bool, SourceError>> + Send;

    /// Extends the membership by [`MEMBERSHIP_LEASE_MS`](crate::MEMBERSHIP_LEASE_MS).
    fn renew(&mut self) -> impl Future<Output = Result<MembershipView, SourceError>> + Send;

    /// Gives up the membership, so that another instance can become the coordinator immediately.
    fn leave(&mut self) -> impl Future<Output = ()> + Send;
}

/// Keeps the record of crashes, which must outlive all instances.
pub trait CrashStore: Send + 'static {
    /// Returns the record, which is empty if there is none, and its position.
    fn load(&mut self) -> impl Future<Output = Result<(CrashRecord, StorePosition), SourceError>> + Send;

    /// Replaces the record at `position`. Returns the new position, or None if the record was not the last one any more. A call that
    /// fails may be executed later, but only if the record is still the last one then.
    fn save(
        &mut self,
        record: &CrashRecord,
        position: StorePosition,
    ) -> impl Future<Output = Result<Option<StorePosition>, SourceError>> + Send;
}

/// Access to everything in the deployment that a gateway depends on.
pub trait Platform {
    /// Source of the configuration.
    type Config: ConfigSource;
    /// Source of the directory.
    type Servers: ServerSource;
    /// Membership of this instance.
    type Membership: MembershipSource;
    /// Store of the record of crashes.
    type Crashes: CrashStore;
    /// Client of the engines.
    type Engines: EngineControl;

    /// Creates the source of the configuration.
    fn config(&self) -> Self::Config;

    /// Creates the source of the directory.
    fn servers(&self) -> Self::Servers;

    /// Creates the membership client.
    fn membership(&self) -> Self::Membership;

    /// Creates the client of the record of crashes.
    fn crashes(&self) -> Self::Crashes;

    /// Creates the client of the engines.
    fn engines(&self) -> Self::Engines;
}
