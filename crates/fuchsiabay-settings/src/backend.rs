//! Settings of the backend server beside an agent.

use fuchsiabay_base::ServiceName;
use serde::Deserialize;

use crate::problems::Problems;

/// What a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// A model engine.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// The place of a backend server in a group of ranks that run in lockstep.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// The group, which also names its log stream.
    pub name: String,
    /// The rank, counted from 0.
    pub rank: u32,
}

/// The backend server beside an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// What it is.
    pub kind: BackendKind,
    /// The service that it offers.
    pub service: ServiceName,
    /// Its address.
    pub url: String,
    /// The number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing token. Where it does not, the agent alone is the fence.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Its place in a group of ranks, if it is in one.
    #[serde(default)]
    pub group: Option<GroupSettings>,
}

impl BackendSettings {
    pub(crate) fn check(&self, problems: &mut Problems) {
        problems.name(self.service.as_str(), "backend.service");
        problems.url(&self.url, "backend.url");
        problems.range(self.slots, 1..=10_000, "backend.slots", "requests");
        let Some(group) = &self.group else {
            return;
        };
        problems.require(
            self.kind == BackendKind::Model,
            "backend.group",
            "only with `kind` `model`; plain services have no ranks",
        );
        problems.name(&group.name, "backend.group.name");
        problems.range(group.rank, 0..=65_535, "backend.group.rank", "(ranks count from 0)");
    }
}
