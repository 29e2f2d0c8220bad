//! Client of the platform's append-only log.

use fuchsiabay_base::Timestamp;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    LogPage,
    platform_http::{ExchangeError, PlatformHttp},
};

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LogError {
    /// Nothing was appended and nothing will be.
    #[error("log: {0}")]
    NoEffect(String),
    /// The records may have been appended, or may yet be.
    #[error("log: {0}; the records may have been appended")]
    EffectUnknown(String),
}

/// Appends to and reads from the streams of the log.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: PlatformHttp,
}

#[derive(Serialize)]
struct Append<'a, T> {
    records: &'a [T],
}

#[derive(Deserialize)]
struct Appended {
    offsets: Vec<u64>,
}

impl LogClient {
    /// Prepares calls to the log at `url`.
    pub fn new(url: &str) -> Self {
        Self { http: PlatformHttp::new(url) }
    }

    /// Appends `records` to `stream` in one append and returns their offsets.
    pub async fn append<T: Serialize>(
        &self,
        stream: &str,
        records: &[T],
        deadline: Timestamp,
    ) -> Result<Vec<u64>, LogError> {
        let body = serde_json::to_string(&Append { records })
            .map_err(|error| LogError::NoEffect(format!("the records cannot be written as JSON: {error}")))?;
        let text = self.http.post(&path(stream), body, deadline).await.map_err(append_error)?;
        let appended: Appended = serde_json::from_str(&text)
            .map_err(|error| LogError::EffectUnknown(format!("the response is not understood: {error}")))?;
        if appended.offsets.len() != records.len() {
            return Err(LogError::EffectUnknown("the response has the wrong number of offsets".into()));
        }
        Ok(appended.offsets)
    }

    /// Reads at most `max` records of `stream` from offset `from` on.
    ///
    /// A record that is not a `T` fails the whole read, because leaving it out would look like a gap of offsets.
    /// A reader that must get past foreign records reads `serde_json::Value`. A read has no effect, so that its
    /// error is always [`LogError::NoEffect`].
    pub async fn read<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        deadline: Timestamp,
    ) -> Result<LogPage<T>, LogError> {
        let path = format!("{}?from={from}&max={max}", path(stream));
        let text =
            self.http.get(&path, deadline).await.map_err(|error| LogError::NoEffect(error.to_string()))?;
        serde_json::from_str(&text)
            .map_err(|error| LogError::NoEffect(format!("the response is not understood: {error}")))
    }
}

fn path(stream: &str) -> String {
    format!("/streams/{stream}/records")
}

fn append_error(error: ExchangeError) -> LogError {
    let reason = error.to_string();
    match error {
        ExchangeError::NotSent(_) | ExchangeError::Refused(..) => LogError::NoEffect(reason),
        ExchangeError::Unknown(_) => LogError::EffectUnknown(reason),
    }
}
