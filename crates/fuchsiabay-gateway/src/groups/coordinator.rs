//! The coordinator of the groups of all services.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use fuchsiabay_balancer::{EngineProfile, ServerRecord};
use fuchsiabay_base::ServiceName;
use fuchsiabay_lockstep::{
    ExpertLayout, LayoutLimits, LayoutPlan, LayoutPlanner, MapSwitch, RankState, Recovery, SwitchOutcome,
    SwitchTiming, next_version,
};
use fuchsiabay_runtime::{monotonic_now, spawn};
use futures_lite::future;
use smol::Timer;

use super::{
    EngineControl,
    group::Group,
    orders::{read_states, send_all},
};
use crate::gateway::Gateway;

/// The interval in which demand is read. Shorter ones cost more pauses than they save.
const SAMPLE: Duration = Duration::from_millis(250);

/// The interval in which groups are looked at that are not open yet, or have no layout of their own.
const WAITING: Duration = Duration::from_millis(80);

/// The pause while another instance holds the duty.
const REST: Duration = Duration::from_millis(100);

/// The time for which the duty must be held when a switch begins, in milliseconds. Most switches end within it, so that no hold
/// waits for another coordinator if the store fails meanwhile.
const SWITCH_MS: u64 = 600;

/// The shortest time between two layouts, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 400;

/// The time after a layout within which only a high skew is worth another one, in milliseconds.
const CALM_MS: u64 = 900;

/// The time from the last known step to the step of a switch, in milliseconds. All ranks must be armed by then, or the
/// group waits.
const SWITCH_LEAD_MS: f64 = 80.0;

/// Steps that are added to the lead, because the last known step may be a little old.
const EXTRA_LEAD_STEPS: u64 = 1;

/// How much longer than on an idle link copies take.
const COPY_MARGIN: f64 = 1.15;

/// The time after the predicted end of the copies within which every rank must be prepared, in milliseconds.
const PREPARE_TIMEOUT_MS: u64 = 2_500;

/// The pause between two looks at a running switch.
const SWITCH_POLL: Duration = Duration::from_millis(15);

/// Coordinates for ever, while this instance holds the duty.
pub(crate) async fn run<E: EngineControl>(gateway: Arc<Gateway>, engines: Arc<E>) {
    let mut is_taken = false;
    let mut groups: HashMap<ServiceName, Vec<Group>> = HashMap::new();
    loop {
        if !gateway.coordinator_lease().is_held() {
            if std::mem::take(&mut is_taken) {
                log::info!("group: duty lost");
            }
            groups.clear();
            Timer::after(REST).await;
            continue;
        }
        if !std::mem::replace(&mut is_taken, true) {
            log::info!("group: duty taken");
        }
        groups = round(&gateway, &engines, std::mem::take(&mut groups)).await;
        let is_waiting =
            groups.values().any(|groups| groups.is_empty() || groups.iter().any(|group| group.is_new));
        Timer::after(if is_waiting { WAITING } else { SAMPLE }).await;
    }
}

/// Looks at every group once.
async fn round<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    mut known: HashMap<ServiceName, Vec<Group>>,
) -> HashMap<ServiceName, Vec<Group>> {
    let Some(serving) = gateway.serving() else {
        return known;
    };
    for shard in gateway.shards() {
        let Some(engine) = serving.engine(shard.name()).filter(|engine| engine.sets > 0) else {
            continue;
        };
        let servers = shard.servers();
        let groups = known.entry(shard.name().clone()).or_default();
        let seen: usize = groups.iter().map(|group| group.ranks.len()).sum();
        let is_same =
            |group: &Group| group.ranks.iter().all(|rank| servers.iter().any(|s| is_same_life(s, rank)));
        if groups.is_empty() || seen != servers.len() || !groups.iter().all(is_same) {
            *groups = discover(gateway, engines, &servers, engine).await;
        }
        let mut kept = Vec::new();
        for mut group in groups.drain(..) {
            group.note_paces(|server| shard.pace(server));
            if !sample(engines, &mut group).await {
                continue;
            }
            if improve(gateway, engines, &mut group, engine, serving.gap_goal_ms(shard.name())).await {
                kept.push(group);
            }
        }
        *groups = kept;
    }
    known
}

fn is_same_life(a: &ServerRecord, b: &ServerRecord) -> bool {
    a.id == b.id && a.born_ms == b.born_ms
}

/// Finds the open groups among `servers`, settles what a former coordinator left behind, and reads their layouts.
async fn discover<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    servers: &[Arc<ServerRecord>],
    engine: &EngineProfile,
) -> Vec<Group> {
    let mut by_group: BTreeMap<String, Vec<(Arc<ServerRecord>, RankState)>> = BTreeMap::new();
    for (server, group, state) in read_states(engines, servers).await {
        by_group.entry(group).or_default().push((server, state));
    }
    let mut groups = Vec::new();
    for (name, mut ranks) in by_group {
        ranks.sort_by_key(|(_, state)| state.rank);
        if !is_whole(&ranks) {
            log::debug!("group: {name} is not whole and open");
            continue;
        }
        let is_initial = ranks.iter().all(|(_, state)| state.is_initial());
        if !gateway.coordinator_lease().is_exclusive() && !is_initial {
            continue;
        }
        if !settle(gateway, engines, &name, &ranks).await {
            continue;
        }
        let Some(layout) = read_layout(engines, &ranks).await else {
            continue;
        };
        log::info!(group = name.as_str(), epoch = ranks[0].1.epoch, map = ranks[0].1.map_version, ranks = ranks.len(); "group: found");
        groups.push(Group::new(name, ranks, layout, engine, monotonic_now()));
    }
    groups
}

/// Returns whether every rank is there, open and in the same epoch.
fn is_whole(ranks: &[(Arc<ServerRecord>, RankState)]) -> bool {
    let Some((_, first)) = ranks.first() else {
        return false;
    };
    ranks.len() == usize::from(first.group_size)
        && ranks.iter().enumerate().all(|(i, (_, state))| {
            state.is_open && state.epoch == first.epoch && usize::from(state.rank) == i
        })
}

/// Resolves holds and armed ranks. Returns whether nothing is left.
async fn settle<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    name: &str,
    ranks: &[(Arc<ServerRecord>, RankState)],
) -> bool {
    let states: Vec<RankState> = ranks.iter().map(|(_, state)| state.clone()).collect();
    let Recovery::Orders(orders) = Recovery::from_states(&states) else {
        return true;
    };
    if !gateway.coordinator_lease().is_held() {
        return false;
    }
    for (rank, order) in &orders {
        log::warn!(group = name, rank = *rank, order = order.as_str(); "group: settling what was left behind");
    }
    let servers: Vec<_> = ranks.iter().map(|(server, _)| server.clone()).collect();
    send_all(engines, &servers, states[0].epoch, orders).await;
    false
}

async fn read_layout<E: EngineControl>(
    engines: &Arc<E>,
    ranks: &[(Arc<ServerRecord>, RankState)],
) -> Option<ExpertLayout> {
    let mut tasks = Vec::with_capacity(ranks.len());
    for (server, _) in ranks {
        let (engines, server) = (engines.clone(), server.clone());
        tasks.push(spawn(async move { engines.rank_experts(&server).await }));
    }
    let mut lists = Vec::with_capacity(tasks.len());
    for task in tasks {
        match task.await {
            Ok(list) => lists.push(list),
            Err(error) => log::info!(error:% = error; "group: lists not read"),
        }
    }
    let first = lists.first()?;
    let is_one_map =
        lists.iter().all(|list| list.epoch == first.epoch && list.map_version == first.map_version);
    if lists.len() != ranks.len() || !is_one_map {
        return None;
    }
    let experts: Vec<Vec<Vec<u16>>> = lists.into_iter().map(|list| list.experts).collect();
    Some(ExpertLayout::from_ranks(&experts))
}

/// Reads the demand of some ranks. Returns false when the group has changed and must be found anew.
async fn sample<E: EngineControl>(engines: &Arc<E>, group: &mut Group) -> bool {
    let mut tasks = Vec::new();
    for rank in group.sampled_ranks(|server| engines.can_query_without_pause(server)) {
        let (engines, server) = (engines.clone(), group.ranks[rank].clone());
        tasks.push((rank, spawn(async move { engines.demand(&server).await })));
    }
    let mut is_same = true;
    for (rank, task) in tasks {
        let now = monotonic_now();
        match task.await {
            Ok(sample) if sample.epoch != group.epoch => is_same = false,
            Ok(sample) => {
                group.note_step(sample.step, now);
                group.demand.record(rank as u16, &sample.counts, now);
            }
            Err(error) => {
                log::info!(error:% = error; "group: demand not read");
                is_same = false;
            }
        }
    }
    if !is_same {
        log::info!(group = group.name.as_str(), epoch = group.epoch; "group: changed");
    }
    is_same
}

/// Plans a better layout and switches to it if it is worth it. Returns false when the state of the ranks is not known any more.
async fn improve<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    group: &mut Group,
    engine: &EngineProfile,
    gap_goal_ms: Option<u64>,
) -> bool {
    let now = monotonic_now();
    if group.switching_at.is_some_and(|step| group.step >= step) {
        group.switching_at = None;
    }
    let may_switch = gateway.coordinator_lease().is_held_for(SWITCH_MS);
    if group.switching_at.is_some() || now < group.plan_at || !may_switch || !group.knows_demand(engine) {
        return true;
    }
    let limits = LayoutLimits { max_experts: engine.placements.into(), max_added: engine.spare.into() };
    let plan = plan(&LayoutPlanner::new(limits), group).await;
    let is_calm = now >= group.plan_at.plus_millis(CALM_MS - PLAN_INTERVAL_MS);
    let step_part = gap_goal_ms.map_or(1.0, |goal_ms| group.step_ms() / goal_ms as f64);
    if !plan.is_worthwhile(step_part, is_calm) {
        return true;
    }
    group.version = next_version(group.version, gateway.coordinator_lease().term());
    let since = monotonic_now();
    let end = switch(gateway, engines, group, engine, &plan).await;
    let ms = monotonic_now().millis_since(since);
    let (outcome, step) = match end {
        SwitchOutcome::Switched { step } => ("switched", step),
        SwitchOutcome::Aborted(reason) => (reason, 0),
    };
    metrics::counter!("fuchsiabay_map_switches_total", "outcome" => outcome).increment(1);
    log::info!(
        group = group.name.as_str(), epoch = group.epoch, version = group.version, outcome, step, ms,
        copies = plan.copies, skew_before = plan.skew_before, skew_after = plan.skew_after, step_part,
        tokens = group.demand.total_tokens();
        "group: switch ended"
    );
    group.plan_at = monotonic_now().plus_millis(PLAN_INTERVAL_MS);
    group.is_new = false;
    if let SwitchOutcome::Switched { step } = end {
        group.switching_at = Some(step);
        group.layout = plan.layout;
    }
    matches!(end, SwitchOutcome::Switched { .. })
}

/// Plans one set at a time and lets requests be served in between.
async fn plan(planner: &LayoutPlanner, group: &Group) -> LayoutPlan {
    let mut sets = Vec::with_capacity(group.layout.sets.len());
    for (current, tokens) in group.layout.sets.iter().zip(group.demand.tokens()) {
        sets.push(planner.plan_set(current, tokens, &group.paces));
        future::yield_now().await;
    }
    planner.evaluate(&group.layout, ExpertLayout { sets }, group.demand.tokens(), &group.paces)
}

/// Runs one switch to its end, or until the duty is lost: then the next coordinator settles what is left behind, and orders of two
/// coordinators must never meet.
async fn switch<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    group: &mut Group,
    engine: &EngineProfile,
    plan: &LayoutPlan,
) -> SwitchOutcome {
    let now = monotonic_now();
    let most_copies = group.layout.copies_by_rank(&plan.layout).into_iter().max().unwrap_or(0);
    let copies_done_at = now.plus_millis((most_copies as f64 * engine.copy_ms * COPY_MARGIN) as u64);
    let timing = SwitchTiming {
        copies_done_at,
        prepare_deadline: copies_done_at.plus_millis(PREPARE_TIMEOUT_MS),
        lead_steps: group.steps_within(SWITCH_LEAD_MS) + EXTRA_LEAD_STEPS,
    };
    let layout = Arc::new(plan.layout.clone());
    let mut switch = MapSwitch::new(group.version, layout, group.step, timing);
    loop {
        let now = monotonic_now();
        switch.note_step(group.estimated_step(now));
        if !gateway.coordinator_lease().is_held() {
            return SwitchOutcome::Aborted("duty lost");
        }
        let orders = switch.poll(now);
        if let Some(end) = switch.outcome() {
            return end;
        }
        if orders.is_empty() {
            Timer::after(SWITCH_POLL).await;
        }
        for (rank, order, reply) in send_all(engines, &group.ranks, group.epoch, orders).await {
            switch.note_reply(rank, &order, reply, monotonic_now());
        }
        if switch.needs_states() {
            let mut missing: BTreeSet<usize> = (0..group.ranks.len()).collect();
            for (_, name, state) in read_states(engines, &group.ranks).await {
                if name != group.name || state.epoch != group.epoch {
                    return SwitchOutcome::Aborted("the group was formed anew");
                }
                missing.remove(&usize::from(state.rank));
                switch.note_state(usize::from(state.rank), &state, monotonic_now());
            }
            missing.into_iter().for_each(|rank| switch.note_unreachable(rank));
        }
    }
}
