//! Where the configuration and the directory of backend servers come from.

use std::{future::Future, net::SocketAddr};

use fuchsiabay_balancer::{ServerChange, ServerRecord, ServingConfig};

use crate::EngineControl;

/// Why a source gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SourceError {
    /// The store did not answer in time, or refused the call.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The store answered with something that cannot be read.
    #[error("unreadable answer of the store: {0}")]
    Unreadable(String),
}

/// An answer to the question for a configuration that was not returned before.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    /// The newest one, if there is any.
    pub config: Option<ServingConfig>,
    /// How long the store held the question back at least, in milliseconds. There was no news all the while.
    pub waited_ms: u64,
}

/// Follows the configuration.
pub trait ConfigSource: Send + 'static {
    /// Waits a while for a configuration that was not returned before. Calls may be far apart.
    fn next(&mut self) -> impl Future<Output = Result<ConfigUpdate, SourceError>> + Send;
}

/// News of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUpdate {
    /// Every server that was registered as of a position in the store's order of changes.
    Listing {
        /// The last records.
        records: Vec<ServerRecord>,
        /// The position.
        position: u64,
    },
    /// What changed since the last update, each change with its position.
    Changes(Vec<(u64, ServerChange)>),
}

/// Follows the directory of backend servers.
pub trait ServerSource: Send + 'static {
    /// Returns what changed since the last call.
    fn poll(&mut self) -> impl Future<Output = Result<ServerUpdate, SourceError>> + Send;
}

/// What a renewal of the membership told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// Where the members take calls of their neighbours.
    pub members: Vec<SocketAddr>,
    /// Whether this instance holds the duty of coordinating.
    pub is_coordinator: bool,
    /// Numbers the changes of the membership. The holders of two terms differ.
    pub term: u64,
}

/// Keeps this instance a member of the instances.
pub trait MembershipSource: Send + 'static {
    /// Renews the membership for [`MEMBERSHIP_LEASE_MS`](crate::MEMBERSHIP_LEASE_MS).
    fn renew(&mut self) -> impl Future<Output = Result<MembershipView, SourceError>> + Send;

    /// Leaves, so that another instance takes the duty over at once.
    fn leave(&mut self) -> impl Future<Output = ()> + Send;
}

/// Everything that a gateway needs from where it runs.
pub trait Platform {
    /// Follows the configuration.
    type Config: ConfigSource;
    /// Follows the directory.
    type Servers: ServerSource;
    /// Keeps the membership.
    type Membership: MembershipSource;
    /// Reaches the engines.
    type Engines: EngineControl;

    /// Returns the source of the configuration.
    fn config(&self) -> Self::Config;

    /// Returns the source of the directory.
    fn servers(&self) -> Self::Servers;

    /// Returns the membership.
    fn membership(&self) -> Self::Membership;

    /// Returns the way to the engines.
    fn engines(&self) -> Self::Engines;
}
