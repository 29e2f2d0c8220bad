//! The coordinator, which switches the groups of all services to better layouts.

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

/// Interval at which demand is read. A shorter one causes more pauses than it saves.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between rounds while a service has no known group, or a group has had no switch yet.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(80);

/// Interval at which a standby instance checks whether it holds the coordinator lease.
const STANDBY_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum remaining time of the lease when a switch starts, in milliseconds. Most switches end within it, so that no held
/// rank waits for the next coordinator if the store fails meanwhile.
const MIN_LEASE_FOR_SWITCH_MS: u64 = 600;

/// Minimum time between a switch and the plan for the next one, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 400;

/// Cooldown after a switch, during which only an urgent skew justifies another one, in milliseconds.
const COOLDOWN_MS: u64 = 900;

/// Time from the last known step to the step at which a switch takes effect, in milliseconds. If not all ranks are armed by
/// then, the group waits.
const SWITCH_LEAD_MS: f64 = 80.0;

/// Number of steps added to the lead, because the last known step may be slightly outdated.
const EXTRA_LEAD_STEPS: u64 = 1;

/// Factor by which copying an expert takes longer than on an idle link.
const COPY_MARGIN: f64 = 1.15;

/// Time after the predicted end of the copies within which every rank must be prepared, in milliseconds.
const PREPARE_TIMEOUT_MS: u64 = 2_500;

/// Interval at which a running switch is polled.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Coordinates all groups while this instance holds the coordinator lease. Never returns.
pub(crate) async fn run_coordinator<E: EngineControl>(gateway: Arc<Gateway>, engines: Arc<E>) {
    let mut was_coordinator = false;
    let mut groups: HashMap<ServiceName, Vec<Group>> = HashMap::new();
    loop {
        if !gateway.coordinator_lease().is_held() {
            if std::mem::take(&mut was_coordinator) {
                log::info!("group: coordinator lease lost");
            }
            groups.clear();
            Timer::after(STANDBY_INTERVAL).await;
            continue;
        }
        if !std::mem::replace(&mut was_coordinator, true) {
            log::info!("group: coordinator lease acquired");
        }
        groups = run_round(&gateway, &engines, std::mem::take(&mut groups)).await;
        let is_discovering =
            groups.values().any(|groups| groups.is_empty() || groups.iter().any(|group| group.is_new));
        Timer::after(if is_discovering { DISCOVERY_INTERVAL } else { SAMPLE_INTERVAL }).await;
    }
}

/// Discovers, samples and rebalances every group once. Returns the groups that are known afterwards.
async fn run_round<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    mut known: HashMap<ServiceName, Vec<Group>>,
) -> HashMap<ServiceName, Vec<Group>> {
    let Some(config) = gateway.config() else {
        return known;
    };
    for shard in gateway.shards() {
        let Some(engine) = config.engine(shard.name()).filter(|engine| engine.sets > 0) else {
            continue;
        };
        let servers = shard.servers();
        let groups = known.entry(shard.name().clone()).or_default();
        let known_ranks: usize = groups.iter().map(|group| group.ranks.len()).sum();
        let is_unchanged = |group: &Group| {
            group.ranks.iter().all(|rank| servers.iter().any(|s| is_same_incarnation(s, rank)))
        };
        if groups.is_empty() || known_ranks != servers.len() || !groups.iter().all(is_unchanged) {
            *groups = discover(gateway, engines, &servers, engine).await;
        }
        let mut kept = Vec::new();
        for mut group in groups.drain(..) {
            group.set_slowdowns(|server| shard.slowdown(server));
            if !sample_demand(engines, &mut group).await {
                continue;
            }
            if rebalance(gateway, engines, &mut group, engine, config.gap_goal_ms(shard.name())).await {
                kept.push(group);
            }
        }
        *groups = kept;
    }
    known
}

fn is_same_incarnation(a: &ServerRecord, b: &ServerRecord) -> bool {
    a.id == b.id && a.started_at_ms == b.started_at_ms
}

/// Finds the open groups among `servers`, completes or rolls back unfinished switches of a previous coordinator, and reads
/// the layouts.
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
        if !is_complete(&ranks) {
            log::debug!("group: {name} is incomplete or not open");
            continue;
        }
        let is_initial = ranks.iter().all(|(_, state)| state.is_initial());
        if !gateway.coordinator_lease().is_exclusive() && !is_initial {
            continue;
        }
        if !recover(gateway, engines, &name, &ranks).await {
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

/// Sends the orders that resolve an unfinished switch, which left ranks held or armed. Returns whether none were needed.
async fn recover<E: EngineControl>(
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
        log::warn!(group = name, rank = *rank, order = order.as_str(); "group: resolving an unfinished switch");
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
    let mut by_rank = Vec::with_capacity(tasks.len());
    for task in tasks {
        match task.await {
            Ok(experts) => by_rank.push(experts),
            Err(error) => log::info!(error:% = error; "group: failed to read the experts of a rank"),
        }
    }
    let first = by_rank.first()?;
    let has_single_map =
        by_rank.iter().all(|rank| rank.epoch == first.epoch && rank.map_version == first.map_version);
    if by_rank.len() != ranks.len() || !has_single_map {
        return None;
    }
    let experts: Vec<Vec<Vec<u16>>> = by_rank.into_iter().map(|rank| rank.experts).collect();
    Some(ExpertLayout::from_ranks(&experts))
}

/// Reads the demand of some ranks. Returns false if the group has changed and must be discovered again.
async fn sample_demand<E: EngineControl>(engines: &Arc<E>, group: &mut Group) -> bool {
    let mut tasks = Vec::new();
    for rank in group.sampled_ranks(|server| engines.can_query_without_pause(server)) {
        let (engines, server) = (engines.clone(), group.ranks[rank].clone());
        tasks.push((rank, spawn(async move { engines.demand(&server).await })));
    }
    let mut is_unchanged = true;
    for (rank, task) in tasks {
        let now = monotonic_now();
        match task.await {
            Ok(sample) if sample.epoch != group.epoch => is_unchanged = false,
            Ok(sample) => {
                group.record_step(sample.step, now);
                group.demand.record(rank as u16, &sample.counts, now);
            }
            Err(error) => {
                log::info!(error:% = error; "group: failed to read the demand of a rank");
                is_unchanged = false;
            }
        }
    }
    if !is_unchanged {
        log::info!(group = group.name.as_str(), epoch = group.epoch; "group: changed");
    }
    is_unchanged
}

/// Plans a better layout and switches to it if that is worthwhile. Returns false if the state of the ranks is no longer
/// known.
async fn rebalance<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    group: &mut Group,
    engine: &EngineProfile,
    gap_goal_ms: Option<u64>,
) -> bool {
    let now = monotonic_now();
    if group.pending_switch_step.is_some_and(|step| group.step >= step) {
        group.pending_switch_step = None;
    }
    let may_switch = gateway.coordinator_lease().is_held_for(MIN_LEASE_FOR_SWITCH_MS);
    if group.pending_switch_step.is_some()
        || now < group.next_plan_at
        || !may_switch
        || !group.has_enough_demand(engine)
    {
        return true;
    }
    let limits = LayoutLimits {
        max_experts: engine.max_experts_per_rank.into(),
        max_added: engine.max_added_per_rank.into(),
    };
    let plan = plan_layout(&LayoutPlanner::new(limits), group).await;
    let has_cooled_down = now >= group.next_plan_at.plus_millis(COOLDOWN_MS - PLAN_INTERVAL_MS);
    let step_share = gap_goal_ms.map_or(1.0, |goal_ms| group.step_ms() / goal_ms as f64);
    if !plan.is_worthwhile(step_share, has_cooled_down) {
        return true;
    }
    group.map_version = next_version(group.map_version, gateway.coordinator_lease().term());
    let started_at = monotonic_now();
    let end = run_switch(gateway, engines, group, engine, &plan).await;
    let ms = monotonic_now().millis_since(started_at);
    let (outcome, step) = match end {
        SwitchOutcome::Switched { step } => ("switched", step),
        SwitchOutcome::Aborted(reason) => (reason, 0),
    };
    metrics::counter!("fuchsiabay_map_switches_total", "outcome" => outcome).increment(1);
    log::info!(
        group = group.name.as_str(), epoch = group.epoch, version = group.map_version, outcome, step, ms,
        copies = plan.copies, skew_before = plan.skew_before, skew_after = plan.skew_after, step_part = step_share,
        tokens = group.demand.total_tokens();
        "group: switch ended"
    );
    group.next_plan_at = monotonic_now().plus_millis(PLAN_INTERVAL_MS);
    group.is_new = false;
    if let SwitchOutcome::Switched { step } = end {
        group.pending_switch_step = Some(step);
        group.layout = plan.layout;
    }
    matches!(end, SwitchOutcome::Switched { .. })
}

/// Plans one set at a time, yielding to other tasks in between.
async fn plan_layout(planner: &LayoutPlanner, group: &Group) -> LayoutPlan {
    let mut sets = Vec::with_capacity(group.layout.sets.len());
    for (current, tokens) in group.layout.sets.iter().zip(group.demand.tokens()) {
        sets.push(planner.plan_set(current, tokens, &group.slowdowns));
        future::yield_now().await;
    }
    planner.evaluate(&group.layout, ExpertLayout { sets }, group.demand.tokens(), &group.slowdowns)
}

/// Runs one switch to its end, or until the coordinator lease is lost. In that case, the next coordinator resolves the
/// unfinished switch, because two coordinators must never send orders at the same time.
async fn run_switch<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    group: &mut Group,
    engine: &EngineProfile,
    plan: &LayoutPlan,
) -> SwitchOutcome {
    let now = monotonic_now();
    let max_copies = group.layout.copies_by_rank(&plan.layout).into_iter().max().unwrap_or(0);
    let copies_done_at = now.plus_millis((max_copies as f64 * engine.copy_ms * COPY_MARGIN) as u64);
    let timing = SwitchTiming {
        copies_done_at,
        prepare_deadline: copies_done_at.plus_millis(PREPARE_TIMEOUT_MS),
        lead_steps: group.steps_within(SWITCH_LEAD_MS) + EXTRA_LEAD_STEPS,
    };
    let layout = Arc::new(plan.layout.clone());
    let mut switch = MapSwitch::new(group.map_version, layout, group.step, timing);
    loop {
        let now = monotonic_now();
        switch.record_step(group.estimated_step(now));
        if !gateway.coordinator_lease().is_held() {
            // The reason is a label value of `fuchsiabay_map_switches_total`, so its text must not change.
            return SwitchOutcome::Aborted("duty lost");
        }
        let orders = switch.poll(now);
        if let Some(end) = switch.outcome() {
            return end;
        }
        if orders.is_empty() {
            Timer::after(SWITCH_POLL_INTERVAL).await;
        }
        for (rank, order, reply) in send_all(engines, &group.ranks, group.epoch, orders).await {
            switch.handle_reply(rank, &order, reply, monotonic_now());
        }
        if switch.needs_states() {
            let mut missing: BTreeSet<usize> = (0..group.ranks.len()).collect();
            for (_, name, state) in read_states(engines, &group.ranks).await {
                if name != group.name || state.epoch != group.epoch {
                    return SwitchOutcome::Aborted("the group was formed anew");
                }
                missing.remove(&usize::from(state.rank));
                switch.handle_state(usize::from(state.rank), &state, monotonic_now());
            }
            missing.into_iter().for_each(|rank| switch.handle_unreachable(rank));
        }
    }
}
