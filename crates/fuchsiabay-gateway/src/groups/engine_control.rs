//! The seam to the engines of a lockstep group.

use std::future::Future;

use fuchsiabay_balancer::ServerRecord;
use fuchsiabay_lockstep::{Order, OrderReply, RankState};

/// Why an engine told nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("engine {server}: {reason}")]
pub struct EngineError {
    /// The server.
    pub server: String,
    /// Why.
    pub reason: String,
}

/// How often a rank's requests chose each expert.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandSample {
    /// The epoch of the group.
    pub epoch: u64,
    /// The last step that was begun.
    pub step: u64,
    /// Cumulative counts, set by set.
    pub counts: Vec<u64>,
}

/// The experts of one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankExperts {
    /// The epoch of the group.
    pub epoch: u64,
    /// The version of the map in use.
    pub map_version: u64,
    /// The experts by set.
    pub experts: Vec<Vec<u16>>,
}

/// Asks engines and gives them orders.
pub trait EngineControl: Send + Sync + 'static {
    /// Returns whether asking the server costs its group nothing.
    fn can_query_without_pause(&self, server: &ServerRecord) -> bool;

    /// Returns the group that the server belongs to, with its state. None for a server that is in no group.
    fn state(
        &self,
        server: &ServerRecord,
    ) -> impl Future<Output = Result<Option<(String, RankState)>, EngineError>> + Send;

    /// Returns how often experts were chosen.
    fn demand(&self, server: &ServerRecord)
    -> impl Future<Output = Result<DemandSample, EngineError>> + Send;

    /// Returns the experts of the rank.
    fn rank_experts(
        &self,
        server: &ServerRecord,
    ) -> impl Future<Output = Result<RankExperts, EngineError>> + Send;

    /// Gives an order that is void in another epoch, if possible from the instance of `via`.
    fn send_order(
        &self,
        server: &ServerRecord,
        via: &ServerRecord,
        epoch: u64,
        order: &Order,
    ) -> impl Future<Output = OrderReply> + Send;
}
