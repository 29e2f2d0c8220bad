//! The follower's task in an entry instance.

use std::sync::Arc;

use fuchsiabay_config::Millis;
use fuchsiabay_runtime::{
    Identity, Instance, LogClient, PeerService, monotonic_now, sleep_until, spawn, unix_now,
};
use fuchsiabay_wire::SharedKey;
use serde_json::Value;
use smol::channel::Receiver;

use crate::{ConfigFollower, follower::CONFIG_STREAM, links::Links};

/// The interval of reads and pulls, in milliseconds. Readers poll the log twice a second, so that a change reaches a
/// reader within 0.5 s and the instances behind it within 1.5 s.
const POLL_MS: u64 = 500;

/// Pulls happen in every second tick.
const TICKS_PER_PULL: u64 = 2;

/// The time that the log has to answer a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

/// Records of one read.
const PAGE_RECORDS: usize = 500;

/// The time that the log has to take a snapshot, in milliseconds.
const SNAPSHOT_TIMEOUT_MS: u64 = 5_000;

/// Follows the configuration for ever. Instance lists arrive through `members`.
pub async fn run_entry_follower<S: PeerService>(
    follower: Arc<ConfigFollower>,
    own: Identity,
    key: SharedKey,
    service: Arc<S>,
    log: LogClient,
    retention: Millis,
    members: Receiver<Vec<Instance>>,
) {
    let links = Arc::new(Links::new(own, key, service));
    // Spreads the snapshots of several readers over an eighth of the retention, so that normally only one appends.
    let snapshot_jitter_ms = fastrand::u64(0..=retention.0 / 8);
    let mut tick = 0;
    loop {
        let next_tick = monotonic_now().plus_millis(POLL_MS);
        while let Ok(instances) = members.try_recv() {
            follower.update_members(&instances);
            links.update(&instances);
        }
        if follower.reads_log(monotonic_now()) && read_log(&follower, &log).await {
            append_snapshot(&follower, &log, retention, snapshot_jitter_ms).await;
        }
        if tick % TICKS_PER_PULL == 0 {
            pull(&follower, &links).await;
        }
        tick += 1;
        sleep_until(next_tick).await;
    }
}

/// Reads the log to its end. Returns whether it could be read.
async fn read_log(follower: &ConfigFollower, log: &LogClient) -> bool {
    loop {
        let asked_at = monotonic_now();
        let deadline = asked_at.plus_millis(READ_TIMEOUT_MS);
        match log.read::<Value>(CONFIG_STREAM, follower.next_offset(), PAGE_RECORDS, deadline).await {
            Ok(page) => {
                if !follower.take_page(asked_at, &page, PAGE_RECORDS) {
                    return true;
                }
            }
            Err(error) => {
                log::debug!("config: {error}");
                follower.log_failed(asked_at);
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
        Ok(_) => log::info!("config: appended a snapshot"),
        Err(error) => log::warn!("config: snapshot failed: {error}"),
    }
}

async fn pull<S: PeerService>(follower: &Arc<ConfigFollower>, links: &Arc<Links<S>>) {
    let targets = follower.pull_targets(monotonic_now());
    links.retain(&targets);
    let pulls: Vec<_> = targets
        .into_iter()
        .map(|reader| {
            let (follower, links) = (Arc::clone(follower), Arc::clone(links));
            spawn(async move {
                match links.peer(&reader).await {
                    Some(peer) => _ = follower.pull_from(&peer).await,
                    None => follower.reader_unreachable(&reader),
                }
            })
        })
        .collect();
    for pull in pulls {
        pull.await;
    }
}
