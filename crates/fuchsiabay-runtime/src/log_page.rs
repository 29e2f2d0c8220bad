//! Pages of a stream of the platform's log.

use fuchsiabay_base::Timestamp;
use serde::{Deserialize, Serialize};

/// A page of consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogPage<T> {
    /// The offset of the first record that the log still retains.
    pub first: u64,
    /// The offset of the next record to read.
    pub next: u64,
    /// The records, ordered by offset.
    pub records: Vec<LogRecord<T>>,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogRecord<T> {
    /// Its offset.
    pub offset: u64,
    /// When it was appended, in milliseconds since the Unix epoch on the log's clock.
    #[serde(rename = "at_ms")]
    pub at: Timestamp,
    /// Its content.
    pub data: T,
}
