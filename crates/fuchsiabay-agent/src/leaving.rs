//! Watches the instance list for the own departure.

use std::sync::Arc;

use fuchsiabay_base::{Generation, InstanceId};
use fuchsiabay_runtime::{Instance, InstanceListClient, InstanceState, monotonic_now, sleep_until};

use crate::{Agent, ConfigView};

/// The time that a fetch may take, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Drains the agent once the list says that it is leaving. While the list is down, the last one counts.
pub(crate) async fn watch<C: ConfigView>(agent: Arc<Agent<C>>) {
    let list = InstanceListClient::new(&agent.params.list_url);
    loop {
        match list.fetch_changed(monotonic_now().plus_millis(FETCH_TIMEOUT_MS)).await {
            Ok(None) => {}
            Ok(Some(instances)) => {
                let identity = &agent.params.identity;
                if is_leaving(&instances, &identity.instance, identity.generation) {
                    agent.leave();
                    return;
                }
            }
            Err(error) => log::debug!("agent: {error}"),
        }
        sleep_until(list.next_poll()).await;
    }
}

/// Returns whether the list says that this life of the instance is leaving. An entry of an earlier life is a late one
/// and says nothing about this life; generation zero means that the list does not know it.
fn is_leaving(instances: &[Instance], own: &InstanceId, generation: Generation) -> bool {
    instances.iter().any(|instance| {
        instance.id == *own
            && instance.state == InstanceState::Leaving
            && (instance.generation >= generation || instance.generation == Generation(0))
    })
}
