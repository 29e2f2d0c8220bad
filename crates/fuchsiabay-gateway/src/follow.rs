//! The tasks that follow the configuration and the directory.

use std::{sync::Arc, time::Duration};

use fuchsiabay_balancer::{Directory, Serving};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use crate::{
    ConfigSource, ServerSource, ServerUpdate, SourceError,
    gateway::{Gateway, StoreRead},
};

/// The interval in which the directory is read. A server that leaves must get no new work within 2 s.
const SERVER_POLL: Duration = Duration::from_millis(700);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The interval of the queue's and the connections' housekeeping.
const TICK: Duration = Duration::from_millis(250);

/// Follows the configuration for ever.
pub(crate) async fn follow_config<S: ConfigSource>(gateway: Arc<Gateway>, mut source: S) {
    let mut dependency = Dependency::new("configuration", StoreRead::Config);
    loop {
        match source.next().await {
            Ok(None) => dependency.note_ok(&gateway),
            Ok(Some(config)) => {
                dependency.note_ok(&gateway);
                let (version, routes) = (config.version, config.routes.len());
                let in_force = gateway.offer_config(Serving::new(config));
                log::info!(version, routes, in_force; "config: received");
            }
            Err(error) => {
                dependency.note_error(&gateway, &error);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Follows the directory of backend servers for ever.
pub(crate) async fn follow_servers<S: ServerSource>(gateway: Arc<Gateway>, mut source: S) {
    let mut dependency = Dependency::new("directory", StoreRead::Directory);
    loop {
        match source.poll().await {
            Ok(update) => {
                let was_lost = dependency.is_lost;
                dependency.note_ok(&gateway);
                gateway.change_directory(|directory, now| {
                    if was_lost {
                        directory.note_outage_end(now);
                    }
                    apply(directory, update, now)
                });
                gateway.set_directory_known();
                Timer::after(SERVER_POLL).await;
            }
            Err(error) => {
                dependency.note_error(&gateway, &error);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
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
        ServerUpdate::Listing(records) => {
            log::info!(servers = records.len(); "directory: read whole");
            directory.replace(records, now);
            true
        }
        ServerUpdate::Changes(changes) => {
            let mut changed = false;
            for change in changes {
                changed |= directory.apply(change, now);
            }
            changed
        }
    }
}

/// Logs when a dependency is lost and when it is back.
struct Dependency {
    name: &'static str,
    read: StoreRead,
    is_lost: bool,
}

impl Dependency {
    fn new(name: &'static str, read: StoreRead) -> Self {
        Self { name, read, is_lost: false }
    }

    fn note_ok(&mut self, gateway: &Gateway) {
        gateway.set_reads(self.read, true);
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!(dependency = self.name; "follow: dependency is back");
        }
    }

    fn note_error(&mut self, gateway: &Gateway, error: &SourceError) {
        gateway.set_reads(self.read, false);
        metrics::counter!("fuchsiabay_store_errors_total", "dependency" => self.name).increment(1);
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(dependency = self.name, error:% = error; "follow: dependency is lost");
        }
    }
}
