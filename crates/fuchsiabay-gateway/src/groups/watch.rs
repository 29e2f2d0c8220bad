//! Finds out which groups are open, once something suggests that one is not.

use std::{collections::HashMap, sync::Arc, time::Duration};

use fuchsiabay_base::InstanceId;
use smol::Timer;

use super::{EngineControl, orders::read_states};
use crate::gateway::Gateway;

/// The interval in which suspicions are looked into.
const INTERVAL: Duration = Duration::from_millis(60);

/// The interval when asking costs the group pauses.
const FAR_INTERVAL: Duration = Duration::from_millis(400);

/// Watches for ever.
///
/// A group that has lost a rank refuses everything until it is formed anew. Requests wait for that here, because each one
/// that is sent meanwhile is refused and counts against the retry budget.
pub(crate) async fn run<E: EngineControl>(gateway: Arc<Gateway>, engines: Arc<E>) {
    loop {
        let mut is_far = false;
        for shard in gateway.shards() {
            let has_engines = gateway.serving().is_some_and(|serving| serving.engine(shard.name()).is_some());
            if !has_engines || !shard.take_suspicion() {
                continue;
            }
            let servers = shard.servers();
            is_far |= servers.iter().any(|server| !engines.is_near(server));
            let states = read_states(&engines, &servers).await;
            let mut open_ranks: HashMap<&str, u16> = HashMap::new();
            for (_, group, state) in &states {
                *open_ranks.entry(group).or_default() += u16::from(state.is_open);
            }
            let view: Vec<(InstanceId, bool)> = states
                .iter()
                .map(|(server, group, state)| {
                    (server.id.clone(), open_ranks[group.as_str()] >= state.size.max(1))
                })
                .collect();
            let closed = view.iter().filter(|(_, is_open)| !is_open).count();
            log::info!(service = shard.name().as_str(), asked = servers.len(), answered = view.len(), closed; "group: looked at");
            shard.note_groups(&view);
        }
        Timer::after(if is_far { FAR_INTERVAL } else { INTERVAL }).await;
    }
}
