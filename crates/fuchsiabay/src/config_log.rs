//! The interface of the CLI to the log stream `config`.

use std::future::Future;

use fuchsiabay_config::ConfigRecord;
use fuchsiabay_runtime::{LogError, LogPage};
use serde_json::Value;

/// Reads from and appends to the stream within the timeout of one command.
pub(crate) trait ConfigLog {
    /// Appends a proposal.
    fn append(&self, record: &ConfigRecord) -> impl Future<Output = Result<(), LogError>>;

    /// Reads records, starting at offset `from`. A page without records marks the end of the stream.
    fn read(&self, from: u64) -> impl Future<Output = Result<LogPage<Value>, LogError>>;

    /// Waits before the next read. Returns false if the timeout of the command would expire first.
    fn pause(&self) -> impl Future<Output = bool>;
}
