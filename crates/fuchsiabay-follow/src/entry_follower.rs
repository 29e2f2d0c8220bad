//! The task that keeps the configuration of an entry instance current.

use std::sync::Arc;

use fuchsiabay_config::Millis;
use fuchsiabay_runtime::{
    Identity, Instance, LogClient, PeerService, monotonic_now, sleep_until, spawn, unix_now,
};
use fuchsiabay_wire::SharedKey;
use serde_json::Value;
use smol::channel::Receiver;

use crate::{ConfigFollower, follower::CONFIG_STREAM, peer_connections::PeerConnections};

/// The interval between polls of the log, in milliseconds. Readers poll the log twice a second, so that a change
/// reaches a reader within 0.5 s and the instances that pull from it within 1.5 s.
const POLL_INTERVAL_MS: u64 = 500;

/// The number of poll intervals between pulls from neighbours.
const TICKS_PER_PULL: u64 = 2;

/// The timeout of a read of the log, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

/// The maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 500;

/// The timeout of appending a snapshot to the log, in milliseconds.
const SNAPSHOT_TIMEOUT_MS: u64 = 5_000;

/// Follows the configuration and never returns. Each update of the instance list arrives on `instance_lists`.
pub async fn run_entry_follower<S: PeerService>(
    follower: Arc<ConfigFollower>,
    own_identity: Identity,
    key: SharedKey,
    service: Arc<S>,
    log: LogClient,
    retention: Millis,
    instance_lists: Receiver<Vec<Instance>>,
) {
    let connections = Arc::new(PeerConnections::new(own_identity, key, service));
    // Spreads the snapshots of several readers over an eighth of the retention, so that normally only one appends.
    let snapshot_jitter_ms = fastrand::u64(0..=retention.0 / 8);
    let mut tick = 0;
    loop {
        let next_tick = monotonic_now().plus_millis(POLL_INTERVAL_MS);
        while let Ok(instances) = instance_lists.try_recv() {
            follower.update_members(&instances);
            connections.update_addresses(&instances);
        }
        if follower.reads_log(monotonic_now()) && read_log(&follower, &log).await {
            append_snapshot(&follower, &log, retention, snapshot_jitter_ms).await;
        }
        if tick % TICKS_PER_PULL == 0 {
            pull(&follower, &connections).await;
        }
        tick += 1;
        sleep_until(next_tick).await;
    }
}

/// Reads the log to its end. Returns whether that succeeded.
async fn read_log(follower: &ConfigFollower, log: &LogClient) -> bool {
    loop {
        let requested_at = monotonic_now();
        let deadline = requested_at.plus_millis(READ_TIMEOUT_MS);
        match log.read::<Value>(CONFIG_STREAM, follower.next_offset(), MAX_PAGE_RECORDS, deadline).await {
            Ok(page) => {
                if !follower.apply_page(requested_at, &page, MAX_PAGE_RECORDS) {
                    return true;
                }
            }
            Err(error) => {
                log::debug!("config: cannot read the log: {error}");
                follower.log_failed(requested_at);
                return false;
            }
        }
    }
}

async fn append_snapshot(follower: &ConfigFollower, log: &LogClient, retention: Millis, jitter_ms: u64) {
    let Some(snapshot) = follower.due_snapshot(unix_now(), retention, jitter_ms) else {
        return;
    };
    let deadline = monotonic_now().plus_millis(SNAPSHOT_TIMEOUT_MS);
    match log.append(CONFIG_STREAM, &[snapshot], deadline).await {
        Ok(_) => log::info!("config: appended a snapshot to the log"),
        Err(error) => log::warn!("config: cannot append a snapshot to the log: {error}"),
    }
}

async fn pull<S: PeerService>(follower: &Arc<ConfigFollower>, connections: &Arc<PeerConnections<S>>) {
    let targets = follower.pull_targets(monotonic_now());
    connections.retain(&targets);
    let pulls: Vec<_> = targets
        .into_iter()
        .map(|target| {
            let (follower, connections) = (Arc::clone(follower), Arc::clone(connections));
            spawn(async move {
                match connections.get_or_connect(&target).await {
                    Some(peer) => _ = follower.pull_from(&peer).await,
                    None => follower.reader_unreachable(&target),
                }
            })
        })
        .collect();
    for pull in pulls {
        pull.await;
    }
}
