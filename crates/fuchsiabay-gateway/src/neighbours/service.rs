//! The RPC interface between entry instances.

// The macro generates code without doc comments.
#![allow(missing_docs)]

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_balancer::{
    CrashReport, DemandReport, DirectoryEntry, DrainedZones, RequestOccupancy, ServingConfig, StateMark,
};
use fuchsiabay_base::{ServiceName, ZoneName};
use fuchsiabay_runtime::{Peer, PeerService, monotonic_now};
use jsonrpsee::{
    Methods,
    core::{RpcResult, async_trait},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};

use super::LoadReport;
use crate::gateway::Gateway;

/// The request of the calling instance.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ExchangeRequest {
    /// Address at which the caller accepts calls.
    pub(crate) from: SocketAddr,
    /// Availability zone of the caller. None from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) zone: Option<ZoneName>,
    /// Version of the configuration that the caller has, 0 for none.
    pub(crate) config_version: u64,
    /// The revision up to which the caller has received the called instance's directory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) mark: Option<StateMark>,
    /// Number of the caller's requests at each server.
    #[serde(flatten)]
    pub(crate) loads: LoadReport,
    /// The caller's demand for each service that has any. None from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) demand: Option<HashMap<ServiceName, DemandReport>>,
    /// The revision up to which the caller has received the called instance's crashes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) crash_mark: Option<StateMark>,
    /// The crashes that changed since the last exchange.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) crashes: Vec<CrashReport>,
    /// Which part of the servers runs the requests under which servers were lost, for the caller.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) occupancies: Vec<RequestOccupancy>,
    /// The drained zones as the caller knows them. Empty if it knows no record.
    #[serde(default, skip_serializing_if = "DrainedZones::is_empty")]
    pub(crate) drained_zones: DrainedZones,
}

/// The reply of the called instance.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ExchangeReply {
    /// Availability zone of the called instance. None from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) zone: Option<ZoneName>,
    /// Version of the configuration that the called instance has, 0 for none.
    pub(crate) config_version: u64,
    /// The configuration, if it is newer than the caller's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) config: Option<ServingConfig>,
    /// Time since the configuration was confirmed to be current. None if it is not confirmed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) config_age_ms: Option<u64>,
    /// Changes of the directory.
    pub(crate) directory: DirectoryUpdate,
    /// Number of the called instance's requests at each server.
    #[serde(flatten)]
    pub(crate) loads: LoadReport,
    /// See [`ExchangeRequest::demand`], for the called instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) demand: Option<HashMap<ServiceName, DemandReport>>,
    /// Changes of the crashes. None if there are none, or from an instance of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) crashes: Option<CrashUpdate>,
    /// The drained zones as the called instance knows them, empty if the caller lacks nothing. The age of the configuration applies
    /// to them as well. None from an instance of an earlier version, which does not know them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) drained_zones: Option<DrainedZones>,
}

/// Changes of the called instance's crashes.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CrashUpdate {
    /// The revision of the crashes after the changes.
    pub(crate) mark: StateMark,
    /// The changes since the caller's mark. Earlier versions require the list also when it is empty.
    #[serde(default)]
    pub(crate) reports: Vec<CrashReport>,
    /// See [`ExchangeRequest::occupancies`], for the called instance.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) occupancies: Vec<RequestOccupancy>,
}

impl CrashUpdate {
    /// Returns whether an instance that has received the crashes up to `mark` needs nothing of this update.
    pub(super) fn is_known_at(&self, mark: Option<StateMark>) -> bool {
        mark == Some(self.mark) && self.reports.is_empty() && self.occupancies.is_empty()
    }
}

/// Changes of the called instance's directory.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DirectoryUpdate {
    /// The revision of the directory after the changes.
    pub(crate) mark: StateMark,
    /// The changes since the caller's mark. Earlier versions require the list also when it is empty.
    #[serde(default)]
    pub(crate) changes: Vec<DirectoryEntry>,
    /// Time since the directory was confirmed to be current. None if it is not confirmed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) age_ms: Option<u64>,
    /// The latest epoch of the store that the called instance knows, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) store_epoch: Option<u64>,
}

/// RPC methods that are called by other entry instances.
#[rpc(server)]
pub(crate) trait NeighbourApi {
    /// Exchanges loads and returns the changes that the caller does not have.
    #[method(name = "exchange")]
    async fn exchange(&self, req: ExchangeRequest) -> RpcResult<ExchangeReply>;
}

/// Serves the RPC interface to other entry instances.
pub(crate) struct NeighbourService(pub(crate) Arc<Gateway>);

struct Api(Arc<Gateway>);

#[async_trait]
impl NeighbourApiServer for Api {
    async fn exchange(&self, req: ExchangeRequest) -> RpcResult<ExchangeReply> {
        let gateway = &self.0;
        gateway.record_loads(req.from, req.zone, req.config_version, req.loads);
        gateway.neighbours().record_demand(req.from, req.demand, monotonic_now());
        // The changes are collected first, so that the caller does not receive its own.
        let mut reply = gateway.exchange_reply(req.from, req.config_version, req.mark, req.crash_mark);
        // The caller needs a mark only for what it does not have, and to learn that its own crashes have arrived.
        reply.crashes =
            reply.crashes.filter(|update| !req.crashes.is_empty() || !update.is_known_at(req.crash_mark));
        // Read after the age of the configuration, so that the zones are at least as recent.
        reply.drained_zones = Some(gateway.exchange_drained_zones(req.from, &req.drained_zones));
        gateway.merge_crashes(req.from, &req.crashes, &req.occupancies);
        Ok(reply)
    }
}

impl PeerService for NeighbourService {
    fn methods(self: &Arc<Self>, _peer: &Peer) -> Methods {
        Api(self.0.clone()).into_rpc().into()
    }
}
