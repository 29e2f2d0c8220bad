//! Carries quarantine records to and from the log.

use std::sync::Arc;

use fuchsiabay_routing::QuarantineRecord;
use fuchsiabay_runtime::{LogClient, monotonic_now, sleep_until, unix_now};
use serde_json::Value;
use smol::channel::Receiver;

use crate::{config_source::ConfigSource, entry::Entry};

/// The stream that carries the quarantine.
const STREAM: &str = "quarantine";
/// The interval of reads, in milliseconds. A crashing request needs a second server before it is refused anyway.
const POLL_MS: u64 = 1_000;
/// The time that the log has to answer, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 2_000;
/// Records of one read or append.
const PAGE_RECORDS: usize = 500;
/// The pause after a failed append, in milliseconds.
const APPEND_RETRY_MS: u64 = 1_000;

/// Reads the stream for ever.
pub(crate) async fn tail<C: ConfigSource>(entry: Arc<Entry<C>>, log: LogClient) {
    let mut next = 0;
    loop {
        let next_poll = monotonic_now().plus_millis(POLL_MS);
        let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
        // Records of a later release must not stop the reader, so each record is understood on its own.
        match log.read::<Value>(STREAM, next, PAGE_RECORDS, deadline).await {
            Ok(page) => {
                let full = page.records.len() >= PAGE_RECORDS;
                for record in page.records {
                    match serde_json::from_value::<QuarantineRecord>(record.data) {
                        Ok(record_data) => entry.quarantine.apply(&record_data, unix_now()),
                        Err(error) => log::warn!("quarantine: record {} skipped: {error}", record.offset),
                    }
                }
                next = page.next;
                if full {
                    continue;
                }
            }
            Err(error) => log::debug!("quarantine: {error}"),
        }
        sleep_until(next_poll).await;
    }
}

/// Appends records for ever. A record may be appended twice, which changes nothing.
pub(crate) async fn append(records: Receiver<QuarantineRecord>, log: LogClient) {
    while let Ok(first) = records.recv().await {
        let mut batch = vec![first];
        while batch.len() < PAGE_RECORDS
            && let Ok(record) = records.try_recv()
        {
            batch.push(record);
        }
        while let Err(error) = log.append(STREAM, &batch, monotonic_now().plus_millis(LOG_TIMEOUT_MS)).await {
            log::warn!("quarantine: append failed: {error}");
            sleep_until(monotonic_now().plus_millis(APPEND_RETRY_MS)).await;
        }
    }
}
