//! Connections to backend servers.

mod attempt;
mod connection;
mod connections;
mod failure;
mod outgoing;

pub(crate) use attempt::Attempt;
pub(crate) use connection::Connection;
pub(crate) use connections::Connections;
pub(crate) use failure::{Failure, FailureKind};
pub(crate) use outgoing::OutgoingRequest;
