//! Watches the instance list until it marks this instance as leaving.

use std::sync::Arc;

use fuchsiabay_base::{Generation, InstanceId};
use fuchsiabay_runtime::{Instance, InstanceListClient, InstanceState, monotonic_now, sleep_until};

use crate::{Agent, ConfigView};

/// The timeout of a fetch, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Drains the agent once the list marks it as leaving. While the list is unavailable, the last fetched one applies.
pub(crate) async fn watch<C: ConfigView>(agent: Arc<Agent<C>>) {
    let list = InstanceListClient::new(&agent.params.list_url);
    loop {
        match list.fetch_changed(monotonic_now().plus_millis(FETCH_TIMEOUT_MS)).await {
            Ok(None) => {}
            Ok(Some(instances)) => {
                let identity = &agent.params.identity;
                if is_leaving(&instances, &identity.instance, identity.generation) {
                    agent.start_leaving();
                    return;
                }
            }
            Err(error) => log::debug!("agent: cannot fetch the instance list: {error}"),
        }
        sleep_until(list.next_poll()).await;
    }
}

/// Returns whether the list marks this incarnation of the instance as leaving. An earlier generation in the list means
/// that the mark applies to a previous incarnation; generation zero means that the list does not know the generation.
fn is_leaving(instances: &[Instance], own: &InstanceId, generation: Generation) -> bool {
    instances.iter().any(|instance| {
        instance.id == *own
            && instance.state == InstanceState::Leaving
            && (instance.generation >= generation || instance.generation == Generation(0))
    })
}
