//! The log stream `config` in the platform's log.

use fuchsiabay_base::Timestamp;
use fuchsiabay_config::ConfigRecord;
use fuchsiabay_runtime::{LogClient, LogError, LogPage, monotonic_now, sleep_until};
use serde_json::Value;

use crate::config_log::ConfigLog;

const STREAM: &str = "config";

/// The maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 500;

/// The timeout of one read, in milliseconds. Failed reads are retried within the timeout of the command.
const READ_TIMEOUT_MS: u64 = 2_000;

/// The interval at which the log is read while an operator waits for a record, in milliseconds. A shorter interval
/// would put more load on the log, which other processes share.
const READ_BACK_INTERVAL_MS: u64 = 200;

/// Reads from and appends to the stream until a deadline.
#[derive(Debug)]
pub(crate) struct PlatformConfigLog {
    log: LogClient,
    /// If an append has no response by then, the remaining time is used to find its record in the log.
    append_deadline: Timestamp,
    deadline: Timestamp,
}

impl PlatformConfigLog {
    /// Uses the log at `url`. All calls must end within `timeout_ms` from now, and an append within half of that time.
    pub(crate) fn new(url: &str, timeout_ms: u64) -> Self {
        let now = monotonic_now();
        Self {
            log: LogClient::new(url),
            append_deadline: now.plus_millis(timeout_ms / 2),
            deadline: now.plus_millis(timeout_ms),
        }
    }
}

impl ConfigLog for PlatformConfigLog {
    async fn append(&self, record: &ConfigRecord) -> Result<(), LogError> {
        self.log.append(STREAM, std::slice::from_ref(record), self.append_deadline).await.map(drop)
    }

    async fn read(&self, from: u64) -> Result<LogPage<Value>, LogError> {
        let deadline = self.deadline.min(monotonic_now().plus_millis(READ_TIMEOUT_MS));
        self.log.read(STREAM, from, MAX_PAGE_RECORDS, deadline).await
    }

    async fn pause(&self) -> bool {
        let next = monotonic_now().plus_millis(READ_BACK_INTERVAL_MS);
        if next >= self.deadline {
            return false;
        }
        sleep_until(next).await;
        true
    }
}
