//! Interface to the engines of a lockstep group.

use std::future::Future;

use fuchsiabay_balancer::ServerRecord;
use fuchsiabay_lockstep::{DemandDelta, Order, OrderReply};

use super::EngineReport;

/// Why a query of an engine failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("engine {server}: {reason}")]
pub struct EngineError {
    /// Id of the server.
    pub server: String,
    /// Why the query failed.
    pub reason: String,
}

/// The experts that one rank holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankExperts {
    /// The epoch of the group.
    pub epoch: u64,
    /// Version of the map in use.
    pub map_version: u64,
    /// The experts by set.
    pub experts: Vec<Vec<u16>>,
}

/// Queries engines and sends them orders.
pub trait EngineControl: Send + Sync + 'static {
    /// Returns whether the demand of the server can be queried without pausing its group.
    fn can_query_without_pause(&self, server: &ServerRecord) -> bool;

    /// Returns what the engine of the server reports about itself.
    fn report(&self, server: &ServerRecord)
    -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Returns how many tokens of the rank's requests were routed to each expert since the previous query.
    fn demand(&self, server: &ServerRecord) -> impl Future<Output = Result<DemandDelta, EngineError>> + Send;

    /// Returns the experts that the rank holds.
    fn rank_experts(
        &self,
        server: &ServerRecord,
    ) -> impl Future<Output = Result<RankExperts, EngineError>> + Send;

    /// Sends an order, if possible through the instance of `via`. The order has no effect in another epoch.
    fn send_order(
        &self,
        server: &ServerRecord,
        via: &ServerRecord,
        epoch: u64,
        order: &Order,
    ) -> impl Future<Output = OrderReply> + Send;
}
