//! Settings of an agent's backend server.

use fuchsiabay_base::ServiceName;
use serde::Deserialize;

use crate::problems::Problems;

/// The kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// An inference engine of a model.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// The position of a backend server in an expert-parallel group, whose ranks run in lockstep.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// The name of the group, from which the name of its log stream is derived.
    pub name: String,
    /// The first rank that the backend server hosts. Ranks are counted from 0.
    pub rank: u16,
    /// The number of consecutive ranks that the backend server hosts, starting at `rank`.
    #[serde(default = "default_ranks")]
    pub ranks: u16,
    /// The number of ranks of the whole group.
    #[serde(default = "default_group_ranks")]
    pub group_ranks: u16,
    /// The number of experts per layer.
    #[serde(default = "default_experts")]
    pub experts: u16,
    /// The number of experts that a rank can hold at a time.
    #[serde(default = "default_expert_slots")]
    pub expert_slots: u16,
    /// The typical duration of a step, in microseconds. It determines how many steps ahead permits and switches are
    /// issued, so it must be the same for all agents of the group.
    #[serde(default = "default_step_us")]
    pub step_us: u64,
    /// The interval at which the expert placement is recomputed, in milliseconds.
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
        let min_slots = self.experts.div_ceil(self.group_ranks.max(1));
        problems.range(
            self.expert_slots,
            min_slots..=self.experts.max(min_slots),
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

/// The settings of an agent's backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Its kind.
    pub kind: BackendKind,
    /// The service that it offers.
    pub service: ServiceName,
    /// Its URL.
    pub url: String,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it rejects orders with an outdated fencing token. If not, only the agent enforces fencing.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Its position in an expert-parallel group, if it belongs to one.
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
