//! Where the configuration and the directory of backend servers come from.

use std::future::Future;

use fuchsiabay_balancer::{ServerChange, ServerRecord, ServingConfig};

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

/// Follows the configuration.
pub trait ConfigSource: Send + 'static {
    /// Waits a while for a configuration that was not returned before. Returns the newest one, or None.
    fn next(&mut self) -> impl Future<Output = Result<Option<ServingConfig>, SourceError>> + Send;
}

/// News of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUpdate {
    /// Every server that is registered now.
    Listing(Vec<ServerRecord>),
    /// What changed since the last update.
    Changes(Vec<ServerChange>),
}

/// Follows the directory of backend servers.
pub trait ServerSource: Send + 'static {
    /// Returns what changed since the last call.
    fn poll(&mut self) -> impl Future<Output = Result<ServerUpdate, SourceError>> + Send;
}
