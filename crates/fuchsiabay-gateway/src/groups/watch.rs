//! Finds out which groups are open, once something suggests that one is not.

use std::{collections::HashMap, sync::Arc, time::Duration};

use fuchsiabay_base::{InstanceId, ServiceName, Timestamp};
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use super::{EngineControl, orders::read_states};
use crate::gateway::Gateway;

/// The interval in which suspicions are looked into.
const INTERVAL: Duration = Duration::from_millis(60);

/// The interval in which every group is looked at where asking costs it nothing, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// The least such interval for each instance that looks, in milliseconds. It bounds what an agent is asked where many look.
const LOOK_MS_PER_INSTANCE: u64 = 250;

/// Instances that may look into suspicions at the full rate.
const INSTANCES_AT_FULL_RATE: usize = 6;

/// The interval when asking costs the group pauses.
const FAR_INTERVAL: Duration = Duration::from_millis(400);

/// The time for which a rank must be out of reach before callers are sent away, in milliseconds. After a restart of
/// everything the ranks come back one after the other within it.
const MISSING_MS: u64 = 800;

/// Since when services have had too few ranks.
#[derive(Debug, Default)]
struct Missing(HashMap<ServiceName, Timestamp>);

impl Missing {
    /// Returns whether `service` has had too few ranks for long.
    fn lacks_ranks(&mut self, service: &ServiceName, is_short: bool, now: Timestamp) -> bool {
        if !is_short {
            self.0.remove(service);
            return false;
        }
        now.millis_since(*self.0.entry(service.clone()).or_insert(now)) >= MISSING_MS
    }
}

/// Watches for ever.
///
/// A group that has lost a rank refuses everything until it is formed anew. Requests wait for that here, because each one
/// that is sent meanwhile is refused and counts against the retry budget.
pub(crate) async fn run<E: EngineControl>(gateway: Arc<Gateway>, engines: Arc<E>) {
    let mut look_at = Timestamp::ZERO;
    let mut missing = Missing::default();
    loop {
        let now = monotonic_now();
        let is_due = now >= look_at;
        if is_due {
            look_at = now.plus_millis(LOOK_MS.max(LOOK_MS_PER_INSTANCE * gateway.instances() as u64));
        }
        let mut is_far = false;
        for shard in gateway.shards() {
            let has_engines = gateway.serving().is_some_and(|serving| serving.engine(shard.name()).is_some());
            let servers = shard.servers();
            let can_query_without_pause =
                servers.iter().all(|server| engines.can_query_without_pause(server));
            if !has_engines || !(shard.take_group_check_request() || is_due && can_query_without_pause) {
                continue;
            }
            is_far |= !can_query_without_pause;
            let states = read_states(&engines, &servers).await;
            // A server that cannot be asked cannot be sent requests, either.
            let mut view: Vec<(InstanceId, bool)> =
                states.iter().map(|(server, _, state)| (server.id.clone(), state.is_open)).collect();
            let answered = view.len();
            for server in &servers {
                if states.iter().all(|(known, ..)| known.id != server.id) {
                    view.push((server.id.clone(), false));
                }
            }
            let paces: Vec<_> =
                states.iter().map(|(server, _, state)| (server.id.clone(), state.pace)).collect();
            shard.note_paces(&paces);
            let closed = view.iter().filter(|(_, is_open)| !is_open).count();
            if closed > 0 {
                log::info!(
                    service = shard.name().as_str(), asked = servers.len(), answered, closed;
                    "group: not whole"
                );
            }
            let is_short = states.iter().any(|(_, _, state)| answered < usize::from(state.group_size));
            let lacks_ranks = missing.lacks_ranks(shard.name(), is_short, now);
            shard.note_groups(&view, lacks_ranks);
        }
        let crowd = gateway.instances().div_ceil(INSTANCES_AT_FULL_RATE) as u32;
        Timer::after(if is_far { FAR_INTERVAL } else { INTERVAL } * crowd).await;
    }
}
