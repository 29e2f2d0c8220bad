//! Pages of a log stream.

use fuchsiabay_base::Timestamp;
use serde::{Deserialize, Serialize};

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogPage<T> {
    /// The offset of the first record that the log still retains.
    pub first: u64,
    /// The offset of the next record to read.
    pub next: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord<T>>,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogRecord<T> {
    /// Its offset.
    pub offset: u64,
    /// When the log appended it, by the log's clock on the Unix epoch.
    #[serde(rename = "at_ms")]
    pub at: Timestamp,
    /// What was appended.
    pub data: T,
}
