//! The remote call between entry instances.

// The macro generates glue without doc comments.
#![allow(missing_docs)]

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_balancer::{DirectoryEntry, DirectoryMark, ServingConfig};
use fuchsiabay_base::InstanceId;
use fuchsiabay_runtime::{Peer, PeerService, monotonic_now};
use jsonrpsee::{
    Methods,
    core::{RpcResult, async_trait},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};

use crate::gateway::Gateway;

/// What the calling instance tells and asks.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ExchangeRequest {
    /// Where the caller takes calls.
    pub(crate) from: SocketAddr,
    /// The version of the configuration that the caller has, 0 for none.
    pub(crate) config_version: u64,
    /// Up to where the caller has the called instance's directory.
    pub(crate) mark: Option<DirectoryMark>,
    /// The caller's requests at each server.
    pub(crate) loads: HashMap<InstanceId, u32>,
}

/// What the called instance tells.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ExchangeReply {
    /// The version of the configuration that the called instance has, 0 for none.
    pub(crate) config_version: u64,
    /// The configuration, if it is newer than the caller's.
    pub(crate) config: Option<ServingConfig>,
    /// How old the proof is that the configuration is current. None without one.
    pub(crate) config_age_ms: Option<u64>,
    /// News of the directory.
    pub(crate) directory: DirectoryUpdate,
    /// The called instance's requests at each server.
    pub(crate) loads: HashMap<InstanceId, u32>,
}

/// What changed in the called instance's directory.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DirectoryUpdate {
    /// The state that the changes lead to.
    pub(crate) mark: DirectoryMark,
    /// What changed since the caller's mark.
    pub(crate) changes: Vec<DirectoryEntry>,
    /// How old the proof is that the directory is current. None without one.
    pub(crate) age_ms: Option<u64>,
}

/// Calls served to other entry instances.
#[rpc(server)]
pub(crate) trait NeighbourApi {
    /// Exchanges loads, and returns what the caller lacks.
    #[method(name = "exchange")]
    async fn exchange(&self, req: ExchangeRequest) -> RpcResult<ExchangeReply>;
}

/// Serves the calls of other entry instances.
pub(crate) struct NeighbourService(pub(crate) Arc<Gateway>);

struct Api(Arc<Gateway>);

#[async_trait]
impl NeighbourApiServer for Api {
    async fn exchange(&self, req: ExchangeRequest) -> RpcResult<ExchangeReply> {
        let gateway = &self.0;
        gateway.neighbours().note_exchange(req.from, req.config_version, req.loads, monotonic_now());
        Ok(gateway.exchange_reply(req.config_version, req.mark))
    }
}

impl PeerService for NeighbourService {
    fn methods(self: &Arc<Self>, _peer: &Peer) -> Methods {
        Api(self.0.clone()).into_rpc().into()
    }
}
