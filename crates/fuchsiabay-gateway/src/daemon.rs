//! Startup and shutdown of the gateway.

use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use async_global_executor::{GlobalExecutorConfig, Task};
use fuchsiabay_base::{Generation, Timestamp};
use fuchsiabay_runtime::{Identity, OpsServer, PeerListener, metrics_export, monotonic_now, spawn, unix_now};
use fuchsiabay_wire::Role;
use smol::{Timer, net::TcpListener};

use crate::{
    GatewaySettings, LiveSettings, Platform, caller, crash_persistence, follow,
    gateway::Gateway,
    groups, membership,
    neighbours::{self, NeighbourConnections, NeighbourService},
    signals::{SignalAction, SignalListener},
};

/// Time after the stop signal for which every new request is served, in milliseconds. A request that is sent later than 3 s after
/// the signal must not be broken off at the stop, and the signal may be handled some 100 ms late. Later requests are served only
/// if they end before the stop.
const ACCEPT_AFTER_STOP_MS: u64 = 2_800;

/// Minimum time from the stop signal to the exit, in milliseconds. The load balancer in front checks readiness once a second and
/// stops sending connections after two failed checks.
const MIN_STOP_MS: u64 = 3_300;

/// Safety margin before the end of the stop timeout, in milliseconds.
const STOP_MARGIN_MS: u64 = 400;

/// How long the responses to requests that are ended by the stop may take, in milliseconds. It is part of the safety margin.
const LAST_RESPONSES_MS: u64 = 200;

/// Interval at which a stopping gateway checks whether all requests have finished.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a gateway or an agent could not start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
}

/// Runs a gateway until SIGTERM or SIGINT. On every SIGHUP, calls `reload`, which returns the settings to apply, or None if
/// they are invalid.
pub fn run<P: Platform>(
    settings: GatewaySettings,
    platform: P,
    reload: impl Fn() -> Option<LiveSettings>,
) -> Result<(), StartError> {
    async_global_executor::init_with_config(
        GlobalExecutorConfig::default().with_min_threads(settings.threads).with_max_threads(settings.threads),
    );
    metrics_export::install();
    async_global_executor::block_on(serve(settings, platform, reload))
}

async fn serve<P: Platform>(
    settings: GatewaySettings,
    platform: P,
    reload: impl Fn() -> Option<LiveSettings>,
) -> Result<(), StartError> {
    let mut signals = SignalListener::new().map_err(StartError::Signals)?;
    let running = RunningGateway::start(settings, &platform).await?;
    while signals.next().await == SignalAction::Reload {
        if let Some(live) = reload() {
            running.apply(live);
        }
    }
    running.stop().await;
    Ok(())
}

/// A gateway running in this process.
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    listen: SocketAddr,
    accept: Task<()>,
    ops: OpsServer,
    _metrics: OpsServer,
}

impl RunningGateway {
    /// Binds the addresses and starts serving.
    pub async fn start<P: Platform>(mut settings: GatewaySettings, platform: &P) -> Result<Self, StartError> {
        let peer_listen = settings.peer_listen;
        let peers = bind(peer_listen, PeerListener::bind(peer_listen)).await?;
        settings.peer_listen = peers.local_addr().map_err(|error| StartError::Listen(peer_listen, error))?;
        let listener = bind(settings.listen, TcpListener::bind(settings.listen)).await?;
        let listen = listener.local_addr().map_err(|error| StartError::Listen(settings.listen, error))?;
        let gateway = Arc::new(Gateway::new(settings));
        let ops_listen = gateway.settings.ops_listen;
        let ops = bind(ops_listen, OpsServer::start(ops_listen, gateway.clone())).await?;
        let metrics_listen = gateway.settings.metrics_listen;
        let metrics = bind(metrics_listen, OpsServer::start(metrics_listen, gateway.clone())).await?;
        start_neighbours(&gateway, peers);
        spawn(follow::follow_config(gateway.clone(), platform.config())).detach();
        spawn(follow::follow_servers(gateway.clone(), platform.servers())).detach();
        spawn(membership::run(gateway.clone(), platform.membership())).detach();
        spawn(crash_persistence::run(gateway.clone(), platform.crashes())).detach();
        let engines = Arc::new(platform.engines());
        spawn(groups::run_coordinator(gateway.clone(), engines.clone())).detach();
        spawn(groups::run_group_checks(gateway.clone(), engines)).detach();
        spawn(follow::run_housekeeping(gateway.clone())).detach();
        let accept = spawn(caller::serve(gateway.clone(), listener));
        log::info!(
            instance = gateway.settings.instance.as_str(), zone = gateway.settings.zone.as_str(),
            listen:% = listen, version = env!("CARGO_PKG_VERSION");
            "gateway: started"
        );
        Ok(Self { gateway, listen, accept, ops, _metrics: metrics })
    }

    /// Returns the address on which callers connect.
    pub fn listen_addr(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address on which other entry instances connect.
    pub fn peer_addr(&self) -> SocketAddr {
        self.gateway.settings.peer_listen
    }

    /// Returns the address that serves readiness, metrics and state.
    pub fn ops_addr(&self) -> SocketAddr {
        self.ops.local_addr()
    }

    /// Applies changed settings.
    pub fn apply(&self, live: LiveSettings) {
        self.gateway.set_live(live);
        log::info!(
            retry_ratio = live.retries.ratio, retry_slack = live.retries.slack,
            stop_timeout_ms = live.stop_timeout_ms, max_connections = live.max_connections;
            "settings: in force"
        );
    }

    /// Drains the gateway: finishes accepted requests and refuses later ones that may not finish. Returns when no request is running or the stop
    /// timeout is about to expire. Requests that still run then get a final response.
    pub async fn stop(self) {
        let now = monotonic_now();
        let stop_at = now.plus_millis(self.gateway.live().stop_timeout_ms.saturating_sub(STOP_MARGIN_MS));
        let refuse_at = now.plus_millis(ACCEPT_AFTER_STOP_MS).min(stop_at);
        self.gateway.drain().start(refuse_at, stop_at);
        log::info!(running = self.gateway.running_requests(); "gateway: stopping");
        wait_until_finished(&self.gateway, now.plus_millis(MIN_STOP_MS), stop_at).await;
        self.gateway.drain().end();
        wait_until_finished(&self.gateway, stop_at, stop_at.plus_millis(LAST_RESPONSES_MS)).await;
        self.accept.cancel().await;
        log::info!(running = self.gateway.running_requests(); "gateway: stopped");
    }
}

/// Starts the exchange with the other entry instances, both as server and as client.
fn start_neighbours(gateway: &Arc<Gateway>, peers: PeerListener) {
    let settings = &gateway.settings;
    let identity = Identity {
        role: Role::Entry,
        instance: settings.instance.clone(),
        generation: Generation(unix_now().as_millis()),
        zone: settings.zone.clone(),
    };
    let key = settings.shared_key.clone();
    let service = Arc::new(NeighbourService(gateway.clone()));
    spawn(peers.serve(identity.clone(), key.clone(), service.clone())).detach();
    let seeds = settings.seeds.clone();
    spawn(neighbours::run(gateway.clone(), NeighbourConnections::new(identity, key, service), seeds))
        .detach();
}

/// Waits until `earliest`, then until no request is running, but no longer than until `latest`.
async fn wait_until_finished(gateway: &Gateway, earliest: Timestamp, latest: Timestamp) {
    loop {
        let now = monotonic_now();
        if now >= latest || now >= earliest && gateway.running_requests() == 0 {
            return;
        }
        Timer::after(STOP_POLL_INTERVAL).await;
    }
}

async fn bind<T>(addr: SocketAddr, binding: impl Future<Output = io::Result<T>>) -> Result<T, StartError> {
    binding.await.map_err(|error| StartError::Listen(addr, error))
}
