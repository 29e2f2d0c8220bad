//! The log stream `config`, as the command needs it.

use std::future::Future;

use fuchsiabay_config::ConfigRecord;
use fuchsiabay_runtime::{LogError, LogPage};
use serde_json::Value;

/// Reads and appends within the time of one command.
pub(crate) trait ConfigLog {
    /// Appends a proposal.
    fn append(&self, record: &ConfigRecord) -> impl Future<Output = Result<(), LogError>>;

    /// Reads the records from offset `from` on. A page without records is the end of the stream.
    fn read(&self, from: u64) -> impl Future<Output = Result<LogPage<Value>, LogError>>;

    /// Waits before another try. Returns false when the time of the command is over.
    fn pause(&self) -> impl Future<Output = bool>;
}
