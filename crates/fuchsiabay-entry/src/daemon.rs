//! Startup and shutdown of the daemon.

use std::{future::Future, io, sync::Arc, time::Duration};

use async_global_executor::GlobalExecutorConfig;
use fuchsiabay_base::Generation;
use fuchsiabay_config::Millis;
use fuchsiabay_follow::{ConfigFollower, run_entry_follower};
use fuchsiabay_runtime::{
    Identity, InstanceListClient, LogClient, OpsServer, PeerListener, ShutdownSignals, logging,
    metrics_export, spawn, unix_now,
};
use fuchsiabay_settings::{EntrySettings, LogFormat};
use fuchsiabay_wire::Role;
use futures_lite::FutureExt;
use smol::{Timer, net::TcpListener};

use crate::{entry::Entry, http_server, membership::Membership, quarantine_log, shutdown};

/// The timeout for closing connections gracefully after a drain.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why the daemon failed to start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StartError {
    /// The logger could not be set up.
    #[error(transparent)]
    Logging(#[from] logging::AlreadyInitialized),
    /// An address could not be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, #[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] io::Error),
}

/// Runs an entry instance until a signal stops it.
///
/// # Errors
///
/// Fails when an address cannot be bound or the logger or the signal handlers cannot be set up.
pub fn run(settings: EntrySettings) -> Result<(), StartError> {
    let threads = settings.threads as usize;
    async_global_executor::init_with_config(
        GlobalExecutorConfig::default().with_min_threads(threads).with_max_threads(threads),
    );
    logging::init(settings.log.level.filter(), settings.log.format == LogFormat::Json)?;
    metrics_export::install();
    async_global_executor::block_on(serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<(), StartError> {
    let mut signals = ShutdownSignals::new().map_err(StartError::Signals)?;
    let identity = Identity {
        role: Role::Entry,
        instance: settings.instance.clone(),
        generation: Generation(unix_now().as_millis()),
        zone: settings.zone.clone(),
    };
    let callers = bind(settings.listen, TcpListener::bind(settings.listen)).await?;
    let peers = bind(settings.peer_listen, PeerListener::bind(settings.peer_listen)).await?;
    let follower = ConfigFollower::new(identity.instance.clone(), identity.zone.clone());
    let key = settings.shared_key.clone();
    let (entry, records) =
        Entry::new(identity.clone(), key.clone(), settings.limits, Arc::clone(&follower), fastrand::u64(..));
    let ops = bind(settings.ops_listen, OpsServer::start(settings.ops_listen, Arc::clone(&entry))).await?;

    let log = LogClient::new(&settings.log_url);
    let (members_tx, members) = smol::channel::bounded(1);
    let membership = Membership::new(Arc::clone(&entry));
    spawn(membership.run(InstanceListClient::new(&settings.list_url), members_tx)).detach();
    spawn(peers.serve(identity.clone(), key.clone(), Arc::clone(&entry))).detach();
    let service = Arc::clone(&entry);
    let retention = Millis(settings.log_retention_ms);
    spawn(run_entry_follower(follower, identity, key, service, log.clone(), retention, members)).detach();
    spawn(quarantine_log::tail(Arc::clone(&entry), log.clone())).detach();
    spawn(quarantine_log::append(records, log)).detach();
    let server = http_server::serve(Arc::clone(&entry), callers);
    log::info!(
        "entry: {} listening for callers on {}, for peers on {} and for operators on {}",
        settings.instance,
        settings.listen,
        settings.peer_listen,
        ops.local_addr()
    );

    if shutdown::shut_down_on_signal(&entry, &mut signals).await {
        let close = async {
            server.shut_down().await;
        };
        let timeout = async {
            Timer::after(CLOSE_TIMEOUT).await;
        };
        close.or(timeout).await;
    }
    log::info!("entry: stopped");
    Ok(())
}

async fn bind<T>(
    addr: std::net::SocketAddr,
    bound: impl Future<Output = io::Result<T>>,
) -> Result<T, StartError> {
    bound.await.map_err(|error| StartError::Listen(addr, error))
}
