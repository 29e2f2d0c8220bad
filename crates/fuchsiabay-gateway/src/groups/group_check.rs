//! Checks which groups are open, periodically and when there are signs that one is not.

use std::{collections::HashMap, sync::Arc, time::Duration};

use fuchsiabay_base::{InstanceId, ServiceName, Timestamp};
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use super::{EngineControl, orders::read_states};
use crate::gateway::Gateway;

/// Interval at which requested checks are made.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which every group that can be queried without a pause is checked, in milliseconds.
const PERIODIC_CHECK_MS: u64 = 1_000;

/// Minimum of this interval per entry instance, in milliseconds. It limits the queries to an agent when there are
/// many instances.
const PERIODIC_CHECK_MS_PER_INSTANCE: u64 = 250;

/// Number of entry instances up to which requested checks are made at the full rate.
const INSTANCES_AT_FULL_RATE: usize = 6;

/// Interval after a check that paused a group.
const PAUSING_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a rank must be unreachable before callers are refused, in milliseconds. After a restart of all
/// instances, the ranks come back one after the other within this time.
const UNREACHABLE_RANK_GRACE_MS: u64 = 800;

/// The services with unreachable ranks, and since when.
#[derive(Debug, Default)]
struct UnreachableRanks(HashMap<ServiceName, Timestamp>);

impl UnreachableRanks {
    /// Records whether a rank of `service` is unreachable. Returns whether one has been for longer than the grace period.
    fn exceeds_grace(&mut self, service: &ServiceName, is_unreachable: bool, now: Timestamp) -> bool {
        if !is_unreachable {
            self.0.remove(service);
            return false;
        }
        now.millis_since(*self.0.entry(service.clone()).or_insert(now)) >= UNREACHABLE_RANK_GRACE_MS
    }
}

/// Checks the groups of all services. Never returns.
///
/// A group that has lost a rank refuses all requests until it is re-formed. Requests wait for that in the queue of the
/// gateway, because each request that is sent meanwhile is refused and uses up the retry budget.
pub(crate) async fn run_group_checks<E: EngineControl>(gateway: Arc<Gateway>, engines: Arc<E>) {
    let mut next_check_at = Timestamp::ZERO;
    let mut unreachable_ranks = UnreachableRanks::default();
    loop {
        let now = monotonic_now();
        let is_due = now >= next_check_at;
        if is_due {
            next_check_at = now.plus_millis(
                PERIODIC_CHECK_MS.max(PERIODIC_CHECK_MS_PER_INSTANCE * gateway.instance_count() as u64),
            );
        }
        let mut has_paused_group = false;
        for shard in gateway.shards() {
            let has_engines = gateway.config().is_some_and(|config| config.engine(shard.name()).is_some());
            let servers = shard.servers();
            let can_query_without_pause =
                servers.iter().all(|server| engines.can_query_without_pause(server));
            if !has_engines || !(shard.take_group_check_request() || is_due && can_query_without_pause) {
                continue;
            }
            has_paused_group |= !can_query_without_pause;
            let states = read_states(&engines, &servers).await;
            // A server that cannot be queried cannot serve requests, either.
            let mut is_open_by_server: Vec<(InstanceId, bool)> =
                states.iter().map(|(server, _, state)| (server.id.clone(), state.is_open)).collect();
            let answered = is_open_by_server.len();
            for server in &servers {
                if states.iter().all(|(known, ..)| known.id != server.id) {
                    is_open_by_server.push((server.id.clone(), false));
                }
            }
            let slowdowns: Vec<_> =
                states.iter().map(|(server, _, state)| (server.id.clone(), state.slowdown)).collect();
            shard.set_slowdowns(&slowdowns);
            let closed = is_open_by_server.iter().filter(|(_, is_open)| !is_open).count();
            if closed > 0 {
                log::info!(
                    service = shard.name().as_str(), asked = servers.len(), answered, closed;
                    "group: closed or incomplete"
                );
            }
            let is_unreachable = states.iter().any(|(_, _, state)| answered < usize::from(state.group_size));
            let has_unreachable_rank = unreachable_ranks.exceeds_grace(shard.name(), is_unreachable, now);
            shard.set_open_groups(&is_open_by_server, has_unreachable_rank);
        }
        let interval_factor = gateway.instance_count().div_ceil(INSTANCES_AT_FULL_RATE) as u32;
        Timer::after(
            if has_paused_group { PAUSING_CHECK_INTERVAL } else { CHECK_INTERVAL } * interval_factor,
        )
        .await;
    }
}
