//! The remote calls, as jsonrpsee traits.

// The macro generates glue without doc comments.
#![allow(missing_docs)]

use fuchsiabay_base::AttemptId;
use jsonrpsee::{core::RpcResult, proc_macros::rpc};

use crate::{CancelReply, ConfigPullReply, ConfigPullRequest, LoadReport, SubmitReply, SubmitRequest};

/// Calls served by an agent.
#[rpc(server)]
pub trait AgentApi {
    /// Admits or refuses one attempt. Frames of an admitted attempt follow on the same connection.
    #[method(name = "submit")]
    async fn submit(&self, req: SubmitRequest) -> RpcResult<SubmitReply>;

    /// Cancels an attempt. The reply is `not-run` only when the attempt was removed before its start.
    #[method(name = "cancel")]
    async fn cancel(&self, attempt: AttemptId) -> RpcResult<CancelReply>;

    /// Reports the present load.
    #[method(name = "load")]
    async fn load(&self) -> RpcResult<LoadReport>;
}

/// Calls served by an entry instance, to agents and to other entry instances.
#[rpc(server)]
pub trait EntryApi {
    /// Returns the configuration and how long ago it was proved current.
    #[method(name = "config_pull")]
    async fn config_pull(&self, req: ConfigPullRequest) -> RpcResult<ConfigPullReply>;
}
