//! The tasks that follow the configuration and the directory.

use std::{sync::Arc, time::Duration};

use fuchsiabay_balancer::{Directory, IndexedConfig, SharedState};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use crate::{
    ConfigSource, ConfigUpdate, ServerSource, ServerUpdate, SourceError, coordinator_lease::boot_now,
    gateway::Gateway,
};

/// The interval in which the directory is read. A server that leaves must get no new work within 2 s.
const SERVER_POLL: Duration = Duration::from_millis(700);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The interval of the queue's and the connections' housekeeping.
const TICK: Duration = Duration::from_millis(250);

/// Follows the configuration for ever.
pub(crate) async fn follow_config<S: ConfigSource>(gateway: Arc<Gateway>, mut source: S) {
    let mut dependency = Dependency::new("configuration");
    loop {
        wait_while_spared(&gateway, SharedState::Config, &mut dependency).await;
        let asked_at = boot_now();
        match source.next().await {
            Ok(ConfigUpdate { config: None, waited_ms }) => {
                dependency.note_ok();
                gateway.confirm_current(
                    SharedState::Config,
                    asked_at.plus_millis(waited_ms).min(boot_now()),
                    0,
                );
            }
            Ok(ConfigUpdate { config: Some(config), .. }) => {
                dependency.note_ok();
                let (version, routes) = (config.version, config.routes.len());
                let in_force = gateway.apply_config(IndexedConfig::new(config));
                gateway.confirm_current(SharedState::Config, asked_at, 0);
                log::info!(version, routes, in_force; "config: received");
            }
            Err(error) => {
                dependency.note_error(&error);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Follows the directory of backend servers for ever.
pub(crate) async fn follow_servers<S: ServerSource>(gateway: Arc<Gateway>, mut source: S) {
    let mut dependency = Dependency::new("directory");
    loop {
        wait_while_spared(&gateway, SharedState::Directory, &mut dependency).await;
        let asked_at = boot_now();
        match source.poll().await {
            Ok(update) => {
                // Where neighbours could read the directory meanwhile, the store had no outage that entries lapse in.
                let was_outage = dependency.is_lost && !gateway.is_current(SharedState::Directory);
                dependency.note_ok();
                gateway.change_directory(|directory, now| {
                    if was_outage {
                        directory.note_outage_end(now);
                    }
                    apply(directory, update, now)
                });
                gateway.confirm_current(SharedState::Directory, asked_at, 0);
                gateway.set_directory_known();
                Timer::after(SERVER_POLL).await;
            }
            Err(error) => {
                dependency.note_error(&error);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits as long as neighbours tell what is in the store.
async fn wait_while_spared(gateway: &Gateway, state: SharedState, dependency: &mut Dependency) {
    while let Some(until) = gateway.next_store_read_at(state) {
        dependency.note_spared();
        Timer::after(Duration::from_millis(until.millis_since(boot_now()))).await;
    }
    dependency.note_reader(gateway.neighbours().is_reader());
}

/// Does the housekeeping for ever.
pub(crate) async fn tick(gateway: Arc<Gateway>) {
    loop {
        Timer::after(TICK).await;
        let now = monotonic_now();
        gateway.change_directory(|directory, now| directory.expire(now));
        for shard in gateway.shards() {
            shard.tick();
        }
        gateway.connections.expire(now);
    }
}

fn apply(directory: &mut Directory, update: ServerUpdate, now: Timestamp) -> bool {
    match update {
        ServerUpdate::Listing { records, position } => {
            log::info!(servers = records.len(), position; "directory: read whole");
            directory.replace(records, position, now);
            true
        }
        ServerUpdate::Changes(changes) => {
            let mut changed = false;
            for (position, change) in changes {
                changed |= directory.apply(change, position, now);
            }
            changed
        }
    }
}

/// Logs when a dependency is lost, when it is back, and when this instance becomes its reader.
struct Dependency {
    name: &'static str,
    is_lost: bool,
    is_reader: bool,
}

impl Dependency {
    const fn new(name: &'static str) -> Self {
        Self { name, is_lost: false, is_reader: false }
    }

    fn note_reader(&mut self, is_reader: bool) {
        if std::mem::replace(&mut self.is_reader, is_reader) != is_reader {
            log::info!(dependency = self.name, is_reader; "follow: reading for the neighbours changed");
        } else if !is_reader {
            log::info!(dependency = self.name; "follow: no neighbour told in time, reading the store");
        }
    }

    /// Notes that neighbours tell it, so that what the store did here before means nothing any more.
    fn note_spared(&mut self) {
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!(dependency = self.name; "follow: neighbours tell it");
        }
    }

    fn note_ok(&mut self) {
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!(dependency = self.name; "follow: dependency is back");
        }
    }

    fn note_error(&mut self, error: &SourceError) {
        metrics::counter!("fuchsiabay_store_errors_total", "dependency" => self.name).increment(1);
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(dependency = self.name, error:% = error; "follow: dependency is lost");
        }
    }
}
