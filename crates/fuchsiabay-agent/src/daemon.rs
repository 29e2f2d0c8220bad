//! Starts and stops an agent.

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

use crate::{Agent, AgentParams, ConfigView, health, leaving, orders};

/// The interval in which changes of the preset and the load are taken over, in milliseconds.
const HOUSEKEEPING_MS: u64 = 100;

/// The interval in which a draining agent looks whether it may stop, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// The time that a drain may take while no preset is known, in milliseconds.
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
    /// Starts the agent's own tasks. They run for as long as the process.
    pub fn start(self: &Arc<Self>) {
        spawn(Arc::clone(self).run_timer()).detach();
        spawn(housekeeping(Arc::clone(self))).detach();
        spawn(health::watch(Arc::clone(self))).detach();
        spawn(leaving::watch(Arc::clone(self))).detach();
        match self.params.kind {
            BackendKind::Model => {
                spawn(orders::read(Arc::clone(self))).detach();
                spawn(orders::carry_out(Arc::clone(self))).detach();
                if let Some(group) = &self.group {
                    spawn(Arc::clone(group).follow()).detach();
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

/// Runs an agent until it was told to stop and its work has ended.
pub async fn run(settings: AgentSettings) -> Result<(), StartError> {
    let identity = Identity {
        role: Role::Agent,
        instance: settings.instance.clone(),
        // The start time distinguishes the lives of an instance without any stored state.
        generation: Generation(unix_now().as_millis()),
        zone: settings.zone.clone(),
    };
    let mut signals = ShutdownSignals::new()?;
    let follower = ConfigFollower::new(settings.instance.clone(), settings.zone.clone());
    // The recorder must exist before the agent takes the handles of its metrics.
    fuchsiabay_runtime::metrics_export::install();
    let agent = Agent::new(AgentParams::new(&settings, identity.clone()), Arc::clone(&follower));
    let listener = PeerListener::bind(settings.peer_listen).await?;
    let peer_addr = listener.local_addr()?;
    let ops = OpsServer::start(settings.ops_listen, Arc::clone(&agent)).await?;
    agent.start();
    spawn(run_agent_follower(follower, Arc::clone(&agent))).detach();
    spawn(listener.serve(identity.clone(), settings.shared_key.clone(), Arc::clone(&agent))).detach();
    log::info!(
        "agent: {} generation {} serves {} at {peer_addr}, operators at {}",
        identity.instance,
        identity.generation,
        settings.backend.service,
        ops.local_addr()
    );
    signals.next().await;
    drain(&agent, &mut signals).await;
    Ok(())
}

/// Lets running work end, until the drain deadline or a second signal.
async fn drain<C: ConfigView>(agent: &Arc<Agent<C>>, signals: &mut ShutdownSignals) {
    let drain_ms = agent.config.preset().map_or(DEFAULT_DRAIN_MS, |preset| preset.drain_ms.0);
    let deadline = monotonic_now().plus_millis(drain_ms);
    agent.drain();
    let idle = async {
        while !agent.may_stop() {
            sleep_until(monotonic_now().plus_millis(DRAIN_POLL_MS)).await;
        }
        // The last ends are on their way to the sockets.
        sleep_until(monotonic_now().plus_millis(DRAIN_POLL_MS)).await;
        log::info!("agent: drained");
    };
    let cut_off = async {
        sleep_until(deadline).await;
        log::warn!("agent: the drain deadline passed; remaining work is cut off");
    };
    let stop_now =
        async { while signals.next().await.is_some_and(|order| order != ShutdownRequest::StopNow) {} };
    future::or(stop_now, future::or(idle, cut_off)).await;
}

async fn housekeeping<C: ConfigView>(agent: Arc<Agent<C>>) {
    loop {
        agent.apply_preset();
        sleep_until(monotonic_now().plus_millis(HOUSEKEEPING_MS)).await;
    }
}
