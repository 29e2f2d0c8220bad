//! Checks which groups are open, periodically and when there are signs that one is not.

use std::{collections::HashMap, sync::Arc, time::Duration};

use fuchsiabay_balancer::{GroupReport, GroupSurvey, Incarnation};
use fuchsiabay_base::{InstanceId, ServiceName, Timestamp};
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use super::{
    EngineControl,
    orders::{rank_states, read_reports},
};
use crate::{gateway::Gateway, shard::ServiceShard};

/// Interval at which requested checks are made.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which every rank is checked, in milliseconds.
const PERIODIC_CHECK_MS: u64 = 1_000;

/// Minimum of this interval per entry instance, in milliseconds. It limits the queries to an agent when there are
/// many instances.
const PERIODIC_CHECK_MS_PER_INSTANCE: u64 = 250;

/// Number of entry instances up to which requested checks are made at the full rate.
const INSTANCES_AT_FULL_RATE: usize = 6;

/// Checks the groups of all services. Never returns.
///
/// A group that has lost a rank refuses all requests until it is re-formed. Requests wait for that in the queue of the
/// gateway, because each request that is sent meanwhile is refused and uses up the retry budget.
pub(crate) async fn run_group_checks<E: EngineControl>(gateway: Arc<Gateway>, engines: Arc<E>) {
    let mut surveys: HashMap<ServiceName, Survey> = HashMap::new();
    loop {
        for shard in gateway.shards() {
            let has_engines = gateway.config().is_some_and(|config| config.engine(shard.name()).is_some());
            let survey = surveys.entry(shard.name().clone()).or_default();
            let is_due = monotonic_now() >= survey.next_check_at;
            if has_engines && (shard.take_group_check_request() || is_due) {
                check_groups(&gateway, &engines, &shard, survey).await;
            }
        }
        let interval_factor = gateway.instance_count().div_ceil(INSTANCES_AT_FULL_RATE) as u32;
        Timer::after(CHECK_INTERVAL * interval_factor).await;
    }
}

#[derive(Debug, Default)]
struct Survey {
    groups: GroupSurvey,
    /// When some ranks are checked even if there are no signs of a closed group.
    next_check_at: Timestamp,
    /// The number of servers whose groups were closed or incomplete at the last check.
    closed: usize,
}

/// Queries some ranks of a service and blocks the servers of closed groups.
async fn check_groups<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    shard: &ServiceShard,
    survey: &mut Survey,
) {
    let servers = shard.servers();
    let ids: Vec<InstanceId> = servers.iter().map(|server| server.id.clone()).collect();
    let queried = survey.groups.next_queries(&ids);
    let asked: Vec<_> = queried.iter().map(|i| servers[*i].clone()).collect();
    let asked_at = monotonic_now();
    let reports = read_reports(engines, &asked).await;
    let now = monotonic_now();
    for (server, _) in reports.iter().filter(|(_, report)| report.is_leaving) {
        if shard.record_leaving(server) {
            log::info!(service = shard.name().as_str(), server = server.id.as_str(); "leaving: stated by a server");
        }
    }
    for (server, report) in &reports {
        let incarnation = Incarnation { server: server.id.clone(), started_at_ms: report.started_at_ms };
        gateway.crashes().record_report(&incarnation, asked_at, now);
    }
    for server in asked.iter().filter(|server| reports.iter().all(|(known, _)| known.id != server.id)) {
        gateway.crashes().record_unreachable(&server.as_ref().into(), now);
    }
    let states = rank_states(reports);
    for server in &asked {
        let state = states.iter().find(|(known, ..)| known.id == server.id);
        let report = state.map(|(_, group, state)| GroupReport {
            group: group.clone(),
            size: state.group_size.into(),
            is_open: state.is_open,
        });
        let is_reachable = report.is_some();
        if survey.groups.record(&server.id, report, now) {
            log::info!(
                service = shard.name().as_str(), server = server.id.as_str(), is_reachable;
                "group: reachability of a rank changed"
            );
        }
    }
    let slowdowns: Vec<_> =
        states.iter().map(|(server, _, state)| (server.id.clone(), state.slowdown)).collect();
    shard.set_slowdowns(&slowdowns);
    let open_servers = survey.groups.open_servers(&ids, &queried);
    let closed = open_servers.iter().filter(|(_, is_open)| !is_open).count();
    if std::mem::replace(&mut survey.closed, closed) != closed {
        let message = if closed > 0 { "group: closed or incomplete" } else { "group: open again" };
        log::info!(
            service = shard.name().as_str(), asked = asked.len(), answered = states.len(), closed;
            "{message}"
        );
    }
    shard.set_open_groups(&open_servers, survey.groups.has_unreachable_rank(now));
    let period_ms = PERIODIC_CHECK_MS.max(PERIODIC_CHECK_MS_PER_INSTANCE * gateway.instance_count() as u64);
    let share = queried.len() as f64 / servers.len().max(1) as f64;
    survey.next_check_at = now.plus_millis((period_ms as f64 * share) as u64);
}
