//! Calls to the group API of an engine.

use fuchsiabay_experts::{MapVersion, Replica};
use serde::{Deserialize, Serialize};

use super::{BackendClient, BackendFailure};

/// The timeout of a permit or of a read of the group's state, in milliseconds. It is well below the time that permits
/// cover.
const PERMIT_TIMEOUT_MS: u64 = 500;

/// The timeout of a read of the token counts, in milliseconds.
const GROUP_LOAD_TIMEOUT_MS: u64 = 2_000;

/// The timeout of loading weights, in milliseconds. A switch that waits longer is aborted.
const WEIGHTS_TIMEOUT_MS: u64 = 15_000;

/// A permit for consecutive ranks to run the steps up to `through_step`. It applies to all of the ranks or to none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct PermitCall {
    pub(crate) rank: u16,
    pub(crate) ranks: u16,
    pub(crate) generation: u64,
    pub(crate) map: MapVersion,
    pub(crate) through_step: u64,
}

/// The slots that consecutive ranks hold under a map, whose weights the engine is to load.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct WeightsCall<'a> {
    pub(crate) map: MapVersion,
    pub(crate) rank: u16,
    pub(crate) slots: &'a [Vec<Replica>],
}

/// The state of a group.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct GroupView {
    /// The last step that ran.
    pub(crate) step: u64,
    pub(crate) ranks: Vec<RankView>,
}

/// The permits of a rank.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct RankView {
    /// The last step that the rank may run.
    pub(crate) through_step: u64,
    /// The highest generation that permitted a step, if the engine reports it.
    #[serde(default)]
    pub(crate) generation: Option<u64>,
}

/// The load of experts and ranks since the engine started.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct GroupLoad {
    /// The number of tokens routed to each expert.
    pub(crate) tokens: Vec<u64>,
    /// How long each rank needs for a million tokens, in microseconds.
    pub(crate) rank_us: Vec<u64>,
}

impl BackendClient {
    /// Returns the state of the group.
    pub(crate) async fn group_view(&self) -> Result<GroupView, BackendFailure> {
        self.read("/group", PERMIT_TIMEOUT_MS).await
    }

    /// Returns the load of experts and ranks.
    pub(crate) async fn group_load(&self) -> Result<GroupLoad, BackendFailure> {
        self.read("/group/load", GROUP_LOAD_TIMEOUT_MS).await
    }

    /// Permits ranks to run steps.
    pub(crate) async fn permit(&self, permit: &PermitCall) -> Result<(), BackendFailure> {
        self.post("/group/permit", permit, PERMIT_TIMEOUT_MS).await
    }

    /// Loads weights alongside those in use and waits until they are loaded.
    pub(crate) async fn load_weights(&self, call: &WeightsCall<'_>) -> Result<(), BackendFailure> {
        self.post("/group/weights", call, WEIGHTS_TIMEOUT_MS).await
    }
}
