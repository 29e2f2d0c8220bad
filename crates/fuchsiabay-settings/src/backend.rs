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
    /// The first rank that the backend server hosts, counted from 0.
    pub rank: u16,
    /// How many ranks, from `rank` on, the backend server hosts.
    #[serde(default = "default_ranks")]
    pub ranks: u16,
    /// The ranks of the whole group.
    #[serde(default = "default_group_ranks")]
    pub group_ranks: u16,
    /// The experts of a layer.
    #[serde(default = "default_experts")]
    pub experts: u16,
    /// The experts that a rank holds at the same time.
    #[serde(default = "default_expert_slots")]
    pub expert_slots: u16,
    /// How long a step usually takes, in microseconds. The look-ahead of permits and switches follows from it, so it
    /// must be the same for all agents of the group.
    #[serde(default = "default_step_us")]
    pub step_us: u64,
    /// The interval in which the placement of experts is planned again, in milliseconds.
    #[serde(default = "default_plan_ms")]
    pub plan_ms: u64,
}

impl GroupSettings {
    fn check(&self, problems: &mut Problems) {
        problems.name(&self.name, "backend.group.name");
        problems.range(self.group_ranks, 1..=4_096, "backend.group.group_ranks", "ranks");
        problems.range(self.ranks, 1..=1_024, "backend.group.ranks", "ranks");
        problems.require(
            u32::from(self.rank) + u32::from(self.ranks) <= u32::from(self.group_ranks),
            "backend.group.rank",
            format!("`rank` + `ranks` up to {} (group_ranks); ranks count from 0", self.group_ranks),
        );
        problems.range(self.experts, 1..=4_096, "backend.group.experts", "experts");
        let least = self.experts.div_ceil(self.group_ranks.max(1));
        problems.range(
            self.expert_slots,
            least..=self.experts.max(least),
            "backend.group.expert_slots",
            "slots (experts / group_ranks to experts)",
        );
        problems.range(self.plan_ms, 1_000..=3_600_000, "backend.group.plan_ms", "ms");
        problems.range(self.step_us, 100..=10_000_000, "backend.group.step_us", "us");
    }
}

fn default_ranks() -> u16 {
    1
}

fn default_group_ranks() -> u16 {
    64
}

fn default_experts() -> u16 {
    256
}

fn default_expert_slots() -> u16 {
    6
}

fn default_plan_ms() -> u64 {
    60_000
}

fn default_step_us() -> u64 {
    28_000
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
        group.check(problems);
    }
}
