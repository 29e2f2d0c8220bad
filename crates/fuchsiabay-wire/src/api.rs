//! The JSON-RPC methods, as jsonrpsee traits.

// The macro generates items without doc comments.
#![allow(missing_docs)]

use fuchsiabay_base::AttemptId;
use jsonrpsee::{core::RpcResult, proc_macros::rpc};

use crate::{CancelReply, ConfigPullReply, ConfigPullRequest, LoadReport, SubmitReply, SubmitRequest};

/// Methods served by an agent.
#[rpc(server)]
pub trait AgentApi {
    /// Admits or refuses an attempt. The token and end frames of an admitted attempt follow on the same connection.
    #[method(name = "submit")]
    async fn submit(&self, req: SubmitRequest) -> RpcResult<SubmitReply>;

    /// Cancels an attempt. The reply is `not-run` only if the attempt was removed before it started.
    #[method(name = "cancel")]
    async fn cancel(&self, attempt: AttemptId) -> RpcResult<CancelReply>;

    /// Returns the current load.
    #[method(name = "load")]
    async fn load(&self) -> RpcResult<LoadReport>;
}

/// Methods that an entry instance serves to agents and to other entry instances.
#[rpc(server)]
pub trait EntryApi {
    /// Returns the configuration and how long ago it was confirmed to be current.
    #[method(name = "config_pull")]
    async fn config_pull(&self, req: ConfigPullRequest) -> RpcResult<ConfigPullReply>;
}
