//! The log stream `config` of the platform.

use fuchsiabay_base::Timestamp;
use fuchsiabay_config::ConfigRecord;
use fuchsiabay_runtime::{LogClient, LogError, LogPage, monotonic_now, sleep_until};
use serde_json::Value;

use crate::config_log::ConfigLog;

const STREAM: &str = "config";

/// Records of one read.
const PAGE_RECORDS: usize = 500;

/// The time that one read may take, in milliseconds. A read-back is tried again within the time of the command.
const READ_TIMEOUT_MS: u64 = 2_000;

/// The interval of read-backs, in milliseconds. A person waits for them, and the log serves others too.
const READ_BACK_MS: u64 = 200;

/// Reads and appends until a deadline.
#[derive(Debug)]
pub(crate) struct LogStream {
    log: LogClient,
    /// An append that is not answered by then is read back in the time that remains.
    append_deadline: Timestamp,
    deadline: Timestamp,
}

impl LogStream {
    /// Uses the log at `url` for `timeout_ms` from now on, at most half of it for an append.
    pub(crate) fn new(url: &str, timeout_ms: u64) -> Self {
        let now = monotonic_now();
        Self {
            log: LogClient::new(url),
            append_deadline: now.plus_millis(timeout_ms / 2),
            deadline: now.plus_millis(timeout_ms),
        }
    }
}

impl ConfigLog for LogStream {
    async fn append(&self, record: &ConfigRecord) -> Result<(), LogError> {
        self.log.append(STREAM, std::slice::from_ref(record), self.append_deadline).await.map(drop)
    }

    async fn read(&self, from: u64) -> Result<LogPage<Value>, LogError> {
        let deadline = self.deadline.min(monotonic_now().plus_millis(READ_TIMEOUT_MS));
        self.log.read(STREAM, from, PAGE_RECORDS, deadline).await
    }

    async fn pause(&self) -> bool {
        let next = monotonic_now().plus_millis(READ_BACK_MS);
        if next >= self.deadline {
            return false;
        }
        sleep_until(next).await;
        true
    }
}
