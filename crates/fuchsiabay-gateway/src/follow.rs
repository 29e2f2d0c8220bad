//! Tasks that keep the configuration and the directory up to date, and the periodic housekeeping.

use std::{sync::Arc, time::Duration};

use fuchsiabay_balancer::{Directory, IndexedConfig, SharedState};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use crate::{
    ConfigSource, ConfigUpdate, ServerSource, ServerUpdate, coordinator_lease::boot_now,
    dependency_status::DependencyStatus, gateway::Gateway, zone_drains,
};

/// Interval at which the directory is read. A server that leaves must stop receiving new work within 2 s.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The longest time for which an instance that starts waits for its neighbours before it reads the configuration from the store, in
/// milliseconds. They know the changes that a store has lost which has just returned from a copy. Neighbours in another region
/// respond within this time.
const NEIGHBOURS_FIRST_MS: u64 = 300;

/// Interval at which a starting instance checks whether its neighbours have been called.
const START_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which the queues, the directory and the idle connections are checked for expired entries.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

/// The same while requests wait for servers that have stated limits.
const PACED_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the configuration and the drained zones up to date. Never returns.
pub(crate) async fn follow_config<S: ConfigSource>(gateway: Arc<Gateway>, mut source: S) {
    let mut dependency = DependencyStatus::new("configuration");
    wait_for_neighbours(&gateway).await;
    loop {
        wait_for_store_read(&gateway, SharedState::Config, &mut dependency).await;
        let requested_at = boot_now();
        let update = source.next().await.map(|ConfigUpdate { config, drained_zones, waited_ms }| {
            // Before the configuration is put in force or confirmed, so that no request is sent without knowing the zones.
            gateway.change_drained_zones("store", |known| zone_drains::apply_update(known, drained_zones));
            (config, waited_ms)
        });
        match update {
            Ok((None, waited_ms)) => {
                dependency.record_ok();
                gateway.confirm_current(
                    SharedState::Config,
                    requested_at.plus_millis(waited_ms).min(boot_now()),
                    0,
                );
            }
            Ok((Some(config), _)) => {
                dependency.record_ok();
                let (version, routes) = (config.version, config.routes.len());
                let in_force = gateway.apply_config(IndexedConfig::new(config));
                gateway.confirm_current(SharedState::Config, requested_at, 0);
                log::info!(version, routes, in_force; "config: received");
            }
            Err(error) => {
                dependency.record_error(&error);
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Keeps the directory of backend servers up to date. Never returns.
pub(crate) async fn follow_servers<S: ServerSource>(gateway: Arc<Gateway>, mut source: S) {
    let mut dependency = DependencyStatus::new("directory");
    loop {
        wait_for_store_read(&gateway, SharedState::Directory, &mut dependency).await;
        let requested_at = boot_now();
        match source.poll().await {
            Ok(update) => {
                // If neighbours could read the directory meanwhile, the store had no outage during which entries could expire.
                let had_outage = dependency.is_unavailable() && !gateway.is_fresh(SharedState::Directory);
                dependency.record_ok();
                gateway.change_directory(|directory, now| {
                    if had_outage {
                        directory.record_outage_end(now);
                    }
                    apply_update(directory, update, now)
                });
                gateway.confirm_current(SharedState::Directory, requested_at, 0);
                gateway.set_directory_known();
                Timer::after(DIRECTORY_POLL_INTERVAL).await;
            }
            Err(error) => {
                dependency.record_error(&error);
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until a neighbour has provided the configuration, or all have been called once.
async fn wait_for_neighbours(gateway: &Gateway) {
    let until = monotonic_now().plus_millis(NEIGHBOURS_FIRST_MS);
    let is_done = || gateway.has_called_neighbours() || gateway.is_fresh(SharedState::Config);
    while !is_done() && monotonic_now() < until {
        Timer::after(START_POLL_INTERVAL).await;
    }
}

/// Waits while neighbours provide the data, so that this instance need not read it from the store.
async fn wait_for_store_read(gateway: &Gateway, state: SharedState, dependency: &mut DependencyStatus) {
    while let Some(until) = gateway.read_deferred_until(state) {
        dependency.record_read_deferred();
        Timer::after(Duration::from_millis(until.millis_since(boot_now()))).await;
    }
    dependency.record_reader(gateway.neighbours().is_reader());
}

/// Runs the periodic housekeeping. Never returns.
pub(crate) async fn run_housekeeping(gateway: Arc<Gateway>) {
    loop {
        let has_paced_jobs = gateway.shards().iter().any(|shard| shard.has_paced_jobs());
        Timer::after(if has_paced_jobs { PACED_INTERVAL } else { HOUSEKEEPING_INTERVAL }).await;
        let now = monotonic_now();
        gateway.expire_directory();
        for shard in gateway.shards() {
            shard.run_housekeeping();
        }
        gateway.connections.expire(now);
    }
}

fn apply_update(directory: &mut Directory, update: ServerUpdate, now: Timestamp) -> bool {
    match update {
        ServerUpdate::Listing { records, position } => {
            log::info!(servers = records.len(), position = position.offset, epoch = position.epoch; "directory: full listing received");
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
