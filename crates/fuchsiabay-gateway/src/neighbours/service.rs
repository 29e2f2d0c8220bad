//! The remote call between entry instances.

// The macro generates glue without doc comments.
#![allow(missing_docs)]

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_balancer::{ServerChange, ServingConfig};
use fuchsiabay_base::InstanceId;
use fuchsiabay_runtime::{Peer, PeerService};
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
    /// Whether the caller cannot read the directory itself.
    pub(crate) wants_directory: bool,
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
    /// The directory, if the caller asked for it and the called instance can read it.
    pub(crate) directory: Option<Vec<ServerChange>>,
    /// The called instance's requests at each server.
    pub(crate) loads: HashMap<InstanceId, u32>,
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
        let (version, wants_directory) = (req.config_version, req.wants_directory);
        gateway.neighbours().note_told(req.from, req.config_version, req.loads);
        Ok(gateway.exchange_reply(version, wants_directory))
    }
}

impl PeerService for NeighbourService {
    fn methods(self: &Arc<Self>, _peer: &Peer) -> Methods {
        Api(self.0.clone()).into_rpc().into()
    }
}
