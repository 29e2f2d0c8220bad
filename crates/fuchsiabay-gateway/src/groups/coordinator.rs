//! The coordinator, which switches the groups of all services to better layouts.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use fuchsiabay_balancer::{EngineProfile, ServerRecord};
use fuchsiabay_base::ServiceName;
use fuchsiabay_lockstep::{
    ExpertLayout, LayoutLimits, LayoutPlan, LayoutPlanner, MapSwitch, OrderHistory, RankState, Recovery,
    SwitchOutcome, SwitchTiming,
};
use fuchsiabay_runtime::monotonic_now;
use futures_lite::future;
use smol::Timer;

use super::{
    EngineControl,
    discovery::discover,
    group::Group,
    orders::{call_each, read_states, send_all},
    recovery::recover,
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

/// Time from the last known step to the step at which a switch takes effect, in milliseconds, in addition to the time that
/// the calls to all ranks take. If not all ranks are armed by then, the group waits.
const SWITCH_LEAD_MS: f64 = 80.0;

/// The number of times that all ranks are called between the hold and the switch: once to verify and once to arm them.
const READS_IN_LEAD: f64 = 2.0;

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
    let mut history = OrderHistory::default();
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
        groups = run_round(&gateway, &engines, std::mem::take(&mut groups), &mut history).await;
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
    history: &mut OrderHistory,
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
        groups.retain(|group| {
            group.ranks.iter().all(|rank| servers.iter().any(|server| is_same_incarnation(server, rank)))
        });
        // Known groups are not read anew because of a server that is in none.
        let is_in_group = |server: &ServerRecord| {
            groups.iter().flat_map(|group| &group.ranks).any(|rank| is_same_incarnation(rank, server))
        };
        let others: Vec<_> = servers.into_iter().filter(|server| !is_in_group(server)).collect();
        if !others.is_empty() {
            groups.extend(discover(gateway, engines, &others, engine, history).await);
        }
        let mut kept = Vec::new();
        for mut group in groups.drain(..) {
            group.set_slowdowns(|server| shard.slowdown(server));
            if !sample_demand(engines, &mut group).await
                || !release_left_over_hold(gateway, engines, &mut group, history).await
            {
                continue;
            }
            let gap_goal_ms = config.gap_goal_ms(shard.name());
            if rebalance(gateway, engines, &mut group, engine, gap_goal_ms, history).await {
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

/// Reads the demand of some ranks. Returns false if the group has changed and must be discovered again.
async fn sample_demand<E: EngineControl>(engines: &Arc<E>, group: &mut Group) -> bool {
    let ranks = group.next_sample(|server| engines.can_query_without_pause(server), monotonic_now());
    let asked = ranks.len();
    let samples = call_each(ranks, |rank| {
        let (engines, server) = (engines.clone(), group.ranks[rank].clone());
        async move { engines.demand(&server).await }
    })
    .await;
    let (mut answered, mut is_unchanged) = (0, true);
    let now = monotonic_now();
    for sample in samples {
        match sample {
            Ok(sample) if sample.epoch != group.epoch => is_unchanged = false,
            Ok(sample) => {
                answered += 1;
                group.record_step(sample.step, now);
                group.demand.record(&sample, now);
            }
            // The rank is read again in a later round. If it has left the group, the epoch changes.
            Err(error) => log::info!(error:% = error; "group: failed to read the demand of a rank"),
        }
    }
    if !is_unchanged || asked > 0 && answered == 0 {
        log::info!(group = group.name.as_str(), epoch = group.epoch, asked, answered; "group: changed");
        return false;
    }
    true
}

/// Looks for a step that is held although no switch is running, if no step has begun for some time. A hold order may be
/// executed after the step was released. Returns false if the group must be discovered again.
async fn release_left_over_hold<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    group: &mut Group,
    history: &mut OrderHistory,
) -> bool {
    let now = monotonic_now();
    let asked: Vec<_> =
        group.take_hold_check(now).into_iter().map(|rank| group.ranks[rank].clone()).collect();
    if asked.is_empty() || !history.is_reported(&group.name, group.epoch, now) {
        return true;
    }
    let held = read_states(engines, &asked).await.into_iter().find_map(|(_, _, state)| state.held);
    let Some(step) = held else {
        return true;
    };
    log::warn!(group = group.name.as_str(), epoch = group.epoch, step; "group: a step is held without a switch");
    let states = read_states(engines, &group.ranks).await;
    let states: Vec<RankState> = states.into_iter().map(|(_, _, state)| state).collect();
    let is_known = states.len() == group.ranks.len() && states.iter().all(|state| state.epoch == group.epoch);
    let Some(recovery) = Recovery::from_states(&states, group.pending_switch_step).filter(|_| is_known)
    else {
        return false;
    };
    recover(gateway, engines, &group.to_recover(), &recovery, history).await;
    recovery.keeps_layout()
}

/// Plans a better layout and switches to it if that is worthwhile. Returns false if the state of the ranks is no longer
/// known.
async fn rebalance<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    group: &mut Group,
    engine: &EngineProfile,
    gap_goal_ms: Option<u64>,
    history: &mut OrderHistory,
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
    let planner = LayoutPlanner::new(limits);
    let has_cooled_down = now >= group.next_plan_at.plus_millis(COOLDOWN_MS - PLAN_INTERVAL_MS);
    let step_share = gap_goal_ms.map_or(1.0, |goal_ms| group.step_ms() / goal_ms as f64);
    let skew = planner.skew(&group.layout, group.demand.tokens(), &group.slowdowns);
    if skew < LayoutPlan::min_skew(step_share, has_cooled_down) {
        return true;
    }
    let plan = plan_layout(&planner, group).await;
    if !plan.is_worthwhile(step_share, has_cooled_down) {
        return true;
    }
    group.map_version =
        history.choose_version(&group.name, group.map_version, gateway.coordinator_lease().term());
    let started_at = monotonic_now();
    let end = run_switch(gateway, engines, group, engine, &plan, history).await;
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
    history: &mut OrderHistory,
) -> SwitchOutcome {
    let now = monotonic_now();
    let max_copies = group.layout.copies_by_rank(&plan.layout).into_iter().max().unwrap_or(0);
    let copies_done_at = now.plus_millis((max_copies as f64 * engine.copy_ms * COPY_MARGIN) as u64);
    let timing = SwitchTiming {
        copies_done_at,
        prepare_deadline: copies_done_at.plus_millis(PREPARE_TIMEOUT_MS),
        lead_steps: group.steps_within(SWITCH_LEAD_MS + READS_IN_LEAD * group.read_ms()) + EXTRA_LEAD_STEPS,
    };
    let layout = Arc::new(plan.layout.clone());
    let last_step = group.step.max(history.last_held_step(&group.name, group.epoch));
    let mut switch = MapSwitch::new(group.map_version, layout, last_step, timing);
    loop {
        let now = monotonic_now();
        switch.record_step(group.estimated_step(now));
        if !gateway.coordinator_lease().is_held() {
            // The reason is a label value of `fuchsiabay_map_switches_total`, so its text must not change.
            return SwitchOutcome::Aborted("duty lost");
        }
        let orders = switch.poll(now);
        if let Some(end) = switch.outcome() {
            if let Some(recovery) = switch.recovery() {
                recover(gateway, engines, &group.to_recover(), &recovery, history).await;
            }
            return end;
        }
        if orders.is_empty() {
            Timer::after(SWITCH_POLL_INTERVAL).await;
        } else {
            let lease = gateway.coordinator_lease();
            history.record_holds(&group.name, group.epoch, orders.iter().map(|(_, order)| order));
            let replies = send_all(lease, engines, &group.ranks, group.epoch, orders).await;
            let now = monotonic_now();
            history.record(&group.name, group.epoch, now);
            for (rank, order, reply) in replies {
                switch.handle_reply(rank, &order, reply, now);
            }
        }
        let to_read = switch.ranks_to_read();
        if !to_read.is_empty() && !read_ranks(engines, group, &mut switch, to_read).await {
            return SwitchOutcome::Aborted("the group was formed anew");
        }
    }
}

/// Reads the states of some ranks for a switch. Returns false if a rank is no longer in the group.
async fn read_ranks<E: EngineControl>(
    engines: &Arc<E>,
    group: &mut Group,
    switch: &mut MapSwitch,
    ranks: Vec<usize>,
) -> bool {
    let servers: Vec<_> = ranks.iter().map(|rank| group.ranks[*rank].clone()).collect();
    let read_at = monotonic_now();
    let states = read_states(engines, &servers).await;
    let now = monotonic_now();
    if ranks.len() == group.ranks.len() {
        group.record_read(now.millis_since(read_at));
    }
    let mut missing: BTreeSet<usize> = ranks.into_iter().collect();
    for (_, name, state) in states {
        if name != group.name || state.epoch != group.epoch {
            return false;
        }
        missing.remove(&usize::from(state.rank));
        switch.handle_state(usize::from(state.rank), &state, now);
    }
    missing.into_iter().for_each(|rank| switch.handle_unreachable(rank));
    true
}
