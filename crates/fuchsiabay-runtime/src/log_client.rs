//! Client of the platform's append-only log.

use fuchsiabay_base::Timestamp;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    LogPage,
    http_client::{ExchangeError, HttpClient},
};

/// The reason why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LogError {
    /// No record was appended, and none will be by this call.
    #[error("log: {0}")]
    NoEffect(String),
    /// The records may have been appended, or may still be.
    #[error("log: {0}; the records may have been appended")]
    EffectUnknown(String),
}

/// Appends to and reads from the streams of the log.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: HttpClient,
}

#[derive(Serialize)]
struct AppendRequest<'a, T> {
    records: &'a [T],
}

#[derive(Deserialize)]
struct AppendResponse {
    offsets: Vec<u64>,
}

impl LogClient {
    /// Creates a client of the log at `url`.
    pub fn new(url: &str) -> Self {
        Self { http: HttpClient::new(url) }
    }

    /// Appends `records` to `stream` with one request and returns their offsets.
    pub async fn append<T: Serialize>(
        &self,
        stream: &str,
        records: &[T],
        deadline: Timestamp,
    ) -> Result<Vec<u64>, LogError> {
        let body = serde_json::to_string(&AppendRequest { records })
            .map_err(|error| LogError::NoEffect(format!("cannot serialize the records: {error}")))?;
        let text = self.http.post(&path(stream), body, deadline).await.map_err(append_error)?;
        let response: AppendResponse = serde_json::from_str(&text)
            .map_err(|error| LogError::EffectUnknown(format!("cannot parse the response: {error}")))?;
        if response.offsets.len() != records.len() {
            return Err(LogError::EffectUnknown("the response has the wrong number of offsets".into()));
        }
        Ok(response.offsets)
    }

    /// Reads at most `max` records of `stream` from offset `from` on.
    ///
    /// A record that cannot be parsed as `T` fails the whole read, because skipping it would look like a gap in the
    /// offsets. A reader that must tolerate unknown records uses `serde_json::Value`. A read has no side effects, so
    /// its error is always [`LogError::NoEffect`].
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
            .map_err(|error| LogError::NoEffect(format!("cannot parse the response: {error}")))
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
