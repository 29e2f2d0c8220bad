//! Startup and shutdown of the agent.

use std::{io, sync::Arc};

use fuchsiabay_base::Generation;
use fuchsiabay_follow::{ConfigFollower, run_agent_follower};
use fuchsiabay_runtime::{
    Identity, OpsServer, PeerListener, ShutdownRequest, ShutdownSignals, monotonic_now, sleep_until, spawn,
    unix_now,
};
use fuchsiabay_settings::{AgentSettings, BackendKind};
use fuchsiabay_wire::Role;
use futures_lite::future;

use crate::{Agent, AgentParams, ConfigView, health, instance_list, orders};

/// The interval at which a changed preset is applied and the load metrics are updated, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: u64 = 100;

/// The interval at which a draining agent checks whether it may stop, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// The timeout of a drain while no preset is known, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 600_000;

/// Why the agent could not start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
}

impl<C: ConfigView> Agent<C> {
    /// Starts the agent's background tasks, which run until the process exits.
    pub fn start(self: &Arc<Self>) {
        spawn(Arc::clone(self).run_timer()).detach();
        spawn(housekeeping(Arc::clone(self))).detach();
        spawn(health::watch(Arc::clone(self))).detach();
        spawn(instance_list::watch(Arc::clone(self))).detach();
        match self.params.kind {
            BackendKind::Model => {
                spawn(orders::follow(Arc::clone(self))).detach();
                spawn(orders::execute(Arc::clone(self))).detach();
                if let Some(group) = &self.group {
                    spawn(Arc::clone(group).follow_log()).detach();
                    spawn(Arc::clone(group).permit_steps()).detach();
                }
            }
            BackendKind::Plain => {
                spawn(Arc::clone(self).read_claims()).detach();
                spawn(Arc::clone(self).run_claim_timer()).detach();
            }
        }
    }
}

/// Runs an agent until it receives a shutdown signal and its work has ended.
pub async fn run(settings: AgentSettings) -> Result<(), StartError> {
    let identity = Identity {
        role: Role::Agent,
        instance: settings.instance.clone(),
        // The start time distinguishes the incarnations of an instance without stored state.
        generation: Generation(unix_now().as_millis()),
        zone: settings.zone.clone(),
    };
    let mut signals = ShutdownSignals::new()?;
    let follower = ConfigFollower::new(settings.instance.clone(), settings.zone.clone());
    // The metrics recorder must be installed before the agent creates its metric handles.
    fuchsiabay_runtime::metrics_export::install();
    let agent = Agent::new(AgentParams::new(&settings, identity.clone()), Arc::clone(&follower));
    let listener = PeerListener::bind(settings.peer_listen).await?;
    let peer_addr = listener.local_addr()?;
    let ops = OpsServer::start(settings.ops_listen, Arc::clone(&agent)).await?;
    agent.start();
    spawn(run_agent_follower(follower, Arc::clone(&agent))).detach();
    spawn(listener.serve(identity.clone(), settings.shared_key.clone(), Arc::clone(&agent))).detach();
    log::info!(
        "agent: {} generation {} serves {}, listening for peers on {peer_addr} and for operators on {}",
        identity.instance,
        identity.generation,
        settings.backend.service,
        ops.local_addr()
    );
    signals.next().await;
    drain(&agent, &mut signals).await;
    Ok(())
}

/// Drains the agent until its work has ended, the drain deadline passes, or a second signal arrives.
async fn drain<C: ConfigView>(agent: &Arc<Agent<C>>, signals: &mut ShutdownSignals) {
    let drain_ms = agent.config.preset().map_or(DEFAULT_DRAIN_MS, |preset| preset.drain_ms.0);
    let deadline = monotonic_now().plus_millis(drain_ms);
    agent.drain();
    let idle = async {
        while !agent.may_stop() {
            sleep_until(monotonic_now().plus_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
        // Leaves time to write the last `End` frames to the sockets.
        sleep_until(monotonic_now().plus_millis(DRAIN_POLL_INTERVAL_MS)).await;
        log::info!("agent: drain complete");
    };
    let deadline_passed = async {
        sleep_until(deadline).await;
        log::warn!("agent: the drain deadline passed; aborting the remaining work");
    };
    let stop_now =
        async { while signals.next().await.is_some_and(|request| request != ShutdownRequest::StopNow) {} };
    future::or(stop_now, future::or(idle, deadline_passed)).await;
}

async fn housekeeping<C: ConfigView>(agent: Arc<Agent<C>>) {
    loop {
        agent.apply_preset();
        sleep_until(monotonic_now().plus_millis(HOUSEKEEPING_INTERVAL_MS)).await;
    }
}
