//! Calls to the group of ranks that an engine is part of.

use fuchsiabay_experts::{MapVersion, Replica};
use serde::{Deserialize, Serialize};

use super::{BackendClient, BackendFailure};

/// The time for a permit or a look at the group, in milliseconds. It is well below the time that permits cover.
const STEP_TIMEOUT_MS: u64 = 500;

/// The time for the counts of tokens, in milliseconds.
const LOAD_TIMEOUT_MS: u64 = 2_000;

/// The time for weights, in milliseconds. A switch that waits longer is aborted.
const WEIGHTS_TIMEOUT_MS: u64 = 15_000;

/// Allows consecutive ranks, all or none, to run the steps up to `through_step`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct PermitCall {
    pub(crate) rank: u16,
    pub(crate) ranks: u16,
    pub(crate) generation: u64,
    pub(crate) map: MapVersion,
    pub(crate) through_step: u64,
}

/// The slots that consecutive ranks hold under a map.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct WeightsCall<'a> {
    pub(crate) map: MapVersion,
    pub(crate) rank: u16,
    pub(crate) slots: &'a [Vec<Replica>],
}

/// Where a group is.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct GroupView {
    /// The last step that ran.
    pub(crate) step: u64,
    pub(crate) ranks: Vec<RankView>,
}

/// What one rank is permitted.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct RankView {
    pub(crate) through_step: u64,
    /// The highest generation that permitted a step, from engines that tell it.
    #[serde(default)]
    pub(crate) generation: Option<u64>,
}

/// What experts and ranks did since the start of the engine.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct GroupLoad {
    /// The tokens of each expert.
    pub(crate) tokens: Vec<u64>,
    /// How long each rank needs for a million tokens, in microseconds.
    pub(crate) rank_us: Vec<u64>,
}

impl BackendClient {
    /// Returns where the group is.
    pub(crate) async fn group(&self) -> Result<GroupView, BackendFailure> {
        self.read("/group", STEP_TIMEOUT_MS).await
    }

    /// Returns what experts and ranks did.
    pub(crate) async fn group_load(&self) -> Result<GroupLoad, BackendFailure> {
        self.read("/group/load", LOAD_TIMEOUT_MS).await
    }

    /// Permits steps.
    pub(crate) async fn permit(&self, permit: &PermitCall) -> Result<(), BackendFailure> {
        self.post("/group/permit", permit, STEP_TIMEOUT_MS).await
    }

    /// Loads weights beside those in use and waits until they are there.
    pub(crate) async fn load_weights(&self, call: &WeightsCall<'_>) -> Result<(), BackendFailure> {
        self.post("/group/weights", call, WEIGHTS_TIMEOUT_MS).await
    }
}
