//! Finds the groups of a service, and resolves the switches that a previous coordinator left unfinished.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiabay_balancer::{EngineProfile, ServerRecord};
use fuchsiabay_lockstep::{ExpertLayout, OrderHistory, RankState, Recovery};
use fuchsiabay_runtime::monotonic_now;

use super::{
    EngineControl,
    group::Group,
    orders::{call_each, read_states},
    recovery::{RecoveredGroup, recover},
};
use crate::gateway::Gateway;

/// Finds the open groups among `servers`, revokes unfinished switches, and reads the layouts. Groups whose states may lack the
/// effects of orders in `history` are left out.
pub(super) async fn discover<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    servers: &[Arc<ServerRecord>],
    engine: &EngineProfile,
    history: &mut OrderHistory,
) -> Vec<Group> {
    let mut by_group: BTreeMap<String, Vec<(Arc<ServerRecord>, RankState)>> = BTreeMap::new();
    let read_at = monotonic_now();
    let states = read_states(engines, servers).await;
    let read_ms = monotonic_now().millis_since(read_at);
    for (server, group, state) in states {
        by_group.entry(group).or_default().push((server, state));
    }
    let mut groups = Vec::new();
    for (name, mut ranks) in by_group {
        ranks.sort_by_key(|(_, state)| state.rank);
        if !is_complete(&ranks) {
            log::debug!("group: {name} is incomplete or not open");
            continue;
        }
        let epoch = ranks[0].1.epoch;
        if !history.is_reported(&name, epoch, read_at) {
            continue;
        }
        let is_initial = ranks.iter().all(|(_, state)| state.is_initial());
        if !gateway.coordinator_lease().is_exclusive() && !is_initial {
            continue;
        }
        let Some(layout) = read_layout(engines, &ranks).await else {
            continue;
        };
        let states: Vec<RankState> = ranks.iter().map(|(_, state)| state.clone()).collect();
        if let Some(recovery) = Recovery::from_states(&states, None) {
            let servers: Vec<_> = ranks.iter().map(|(server, _)| server.clone()).collect();
            let map_version = states.iter().map(RankState::highest_version).max().unwrap_or(0);
            let group =
                RecoveredGroup { name: &name, epoch, ranks: &servers, layout: layout.common(), map_version };
            recover(gateway, engines, &group, &recovery, history).await;
            continue;
        }
        let LayoutInUse::Common(layout) = layout else {
            log::debug!("group: the ranks of {name} have different layouts");
            continue;
        };
        log::info!(group = name.as_str(), epoch, map = ranks[0].1.map_version, ranks = ranks.len(); "group: found");
        let mut group = Group::new(name, ranks, layout, engine, monotonic_now());
        group.record_read(read_ms);
        groups.push(group);
    }
    groups
}

/// Returns whether every rank is present, open and in the same epoch.
fn is_complete(ranks: &[(Arc<ServerRecord>, RankState)]) -> bool {
    let Some((_, first)) = ranks.first() else {
        return false;
    };
    ranks.len() == usize::from(first.group_size)
        && ranks.iter().enumerate().all(|(i, (_, state))| {
            state.is_open && state.epoch == first.epoch && usize::from(state.rank) == i
        })
}

/// The layout in use, as the ranks state it.
enum LayoutInUse {
    Common(ExpertLayout),
    /// The ranks have different ones.
    Mixed,
}

impl LayoutInUse {
    fn common(&self) -> Option<&ExpertLayout> {
        match self {
            Self::Common(layout) => Some(layout),
            Self::Mixed => None,
        }
    }
}

/// Reads the layout in use. Returns None if a rank did not respond.
async fn read_layout<E: EngineControl>(
    engines: &Arc<E>,
    ranks: &[(Arc<ServerRecord>, RankState)],
) -> Option<LayoutInUse> {
    let servers: Vec<_> = ranks.iter().map(|(server, _)| server.clone()).collect();
    let results = call_each(servers, |server| {
        let engines = engines.clone();
        async move { engines.rank_experts(&server).await }
    })
    .await;
    let mut by_rank = Vec::with_capacity(results.len());
    for result in results {
        match result {
            Ok(experts) => by_rank.push(experts),
            Err(error) => log::info!(error:% = error; "group: failed to read the experts of a rank"),
        }
    }
    let first = by_rank.first()?;
    if by_rank.len() != ranks.len() || by_rank.iter().any(|rank| rank.epoch != first.epoch) {
        return None;
    }
    if by_rank.iter().any(|rank| rank.map_version != first.map_version) {
        return Some(LayoutInUse::Mixed);
    }
    let experts: Vec<Vec<Vec<u16>>> = by_rank.into_iter().map(|rank| rank.experts).collect();
    Some(LayoutInUse::Common(ExpertLayout::from_ranks(&experts)))
}
