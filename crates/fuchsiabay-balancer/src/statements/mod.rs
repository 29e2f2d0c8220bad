//! What backend servers state about themselves in their responses: that they are leaving, that they want no requests for some
//! time, and how many requests a second they accept.
//!
//! A statement holds for the incarnation of the server that made it. It outlasts the server's entry in the directory, because an
//! outdated listing can contain the server again.

mod commands;
mod pause;
mod permission;
mod queries;
mod rate_limit;
mod server_statements;

use std::collections::HashMap;

use fuchsiabay_base::InstanceId;

use self::server_statements::ServerStatements;

pub use permission::SendPermission;
pub use rate_limit::InstanceRank;

/// What the servers of one service have stated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statements {
    by_server: HashMap<InstanceId, ServerStatements>,
}
