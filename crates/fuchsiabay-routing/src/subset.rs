//! Subsetting: the choice of the agents that an entry instance connects to.

use std::collections::BTreeMap;

use fuchsiabay_base::{Fingerprint, InstanceId, ServiceName, ZoneName};

/// Maximum number of agents that one entry instance connects to. With 350 entry instances and 600 agents, a full mesh
/// would cost an instance 480 KB/s of load polls; with 64 agents per entry instance, each agent still has about 37 entry
/// instances.
const MAX_AGENTS: usize = 64;

/// Minimum number of agents per service, even if the total exceeds [`MAX_AGENTS`].
const MIN_AGENTS_PER_SERVICE: usize = 8;

/// An agent that an entry instance may connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The availability zone.
    pub zone: &'a ZoneName,
    /// The instance.
    pub id: &'a InstanceId,
}

/// Returns the agents that the entry instance `own` in `own_zone` connects to, in no particular order.
///
/// For each service it takes the agents with the lowest rendezvous hash, two thirds of them from its own zone if there
/// are enough. A joining or leaving agent changes few connections, and different entry instances choose differently.
pub fn choose_agents<'a>(
    own: &InstanceId,
    own_zone: &ZoneName,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Vec<&'a InstanceId> {
    let mut services: BTreeMap<&ServiceName, Vec<Candidate<'a>>> = BTreeMap::new();
    for candidate in candidates {
        services.entry(candidate.service).or_default().push(candidate);
    }
    let per_service = (MAX_AGENTS / services.len().max(1)).max(MIN_AGENTS_PER_SERVICE);
    let mut chosen = Vec::new();
    for mut agents in services.into_values() {
        agents.sort_by_cached_key(|agent| (rendezvous_hash(own, agent.id), agent.id));
        let (local, remote): (Vec<_>, Vec<_>) = agents.into_iter().partition(|agent| agent.zone == own_zone);
        // Connections that one of the two parts does not need go to the other.
        let for_local = (per_service - per_service / 3).max(per_service.saturating_sub(remote.len()));
        let local = &local[..local.len().min(for_local)];
        let remote = &remote[..remote.len().min(per_service - local.len())];
        chosen.extend(local.iter().chain(remote).map(|agent| agent.id));
    }
    chosen
}

fn rendezvous_hash(own: &InstanceId, agent: &InstanceId) -> Fingerprint {
    Fingerprint::of(&[b"agent-link", own.as_str().as_bytes(), agent.as_str().as_bytes()])
}
