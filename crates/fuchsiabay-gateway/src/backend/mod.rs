//! Connections to backend servers.

mod attempt;
mod connection;
mod connection_pool;
mod failure;
mod outgoing;

pub(crate) use attempt::Attempt;
pub(crate) use connection::Connection;
pub(crate) use connection_pool::ConnectionPool;
pub(crate) use failure::{Failure, FailureKind};
pub(crate) use outgoing::OutgoingRequest;
