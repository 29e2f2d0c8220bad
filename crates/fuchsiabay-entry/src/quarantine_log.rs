//! Reads quarantine records from the log and appends new ones.

use std::sync::Arc;

use fuchsiabay_routing::QuarantineRecord;
use fuchsiabay_runtime::{LogClient, monotonic_now, sleep_until, unix_now};
use serde_json::Value;
use smol::channel::Receiver;

use crate::{config_source::ConfigSource, entry::Entry};

/// The log stream of quarantine records.
const STREAM: &str = "quarantine";
/// The interval between reads, in milliseconds. Records may arrive late, because a request is refused only after it has
/// crashed a second server.
const POLL_INTERVAL_MS: u64 = 1_000;
/// The timeout of a read or an append, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of records in one read or append.
const MAX_BATCH_RECORDS: usize = 500;
/// The delay before a failed append is retried, in milliseconds.
const APPEND_RETRY_DELAY_MS: u64 = 1_000;

/// Polls the stream and applies its records. Never returns.
pub(crate) async fn tail<C: ConfigSource>(entry: Arc<Entry<C>>, log: LogClient) {
    let mut next = 0;
    loop {
        let next_poll = monotonic_now().plus_millis(POLL_INTERVAL_MS);
        let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
        // Each record is parsed separately, so that a record written by a later release does not stop the reader.
        match log.read::<Value>(STREAM, next, MAX_BATCH_RECORDS, deadline).await {
            Ok(page) => {
                let full = page.records.len() >= MAX_BATCH_RECORDS;
                for record in page.records {
                    match serde_json::from_value::<QuarantineRecord>(record.data) {
                        Ok(quarantine_record) => entry.quarantine.apply(&quarantine_record, unix_now()),
                        Err(error) => log::warn!("quarantine: skipping record {}: {error}", record.offset),
                    }
                }
                next = page.next;
                if full {
                    continue;
                }
            }
            Err(error) => log::debug!("quarantine: cannot read the log: {error}"),
        }
        sleep_until(next_poll).await;
    }
}

/// Appends records in batches until the channel closes, and retries failures. A record may be appended twice, which has
/// no effect.
pub(crate) async fn append(records: Receiver<QuarantineRecord>, log: LogClient) {
    while let Ok(first) = records.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_RECORDS
            && let Ok(record) = records.try_recv()
        {
            batch.push(record);
        }
        while let Err(error) = log.append(STREAM, &batch, monotonic_now().plus_millis(LOG_TIMEOUT_MS)).await {
            log::warn!("quarantine: cannot append to the log, retrying: {error}");
            sleep_until(monotonic_now().plus_millis(APPEND_RETRY_DELAY_MS)).await;
        }
    }
}
