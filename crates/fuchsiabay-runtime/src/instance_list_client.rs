//! Client of the platform's instance list.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::Value;
use trillium_client::Status;

use crate::{Instance, http_client::HttpClient, monotonic_now};

/// The minimum poll interval, in milliseconds. Together with the lag of the list, it must stay within a few
/// seconds.
const MIN_POLL_INTERVAL_MS: u64 = 1_000;

/// The bandwidth for polls of a list service that does not support conditional requests, in bytes per second. The list
/// of 950 instances is about 160 KB long, and the control-traffic budget of an instance is 27 KB/s.
const UNCONDITIONAL_POLL_BYTES_PER_SECOND: u64 = 8_000;

/// The reason why the list could not be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("list: {0}")]
pub struct InstanceListError(String);

/// Fetches the list of live and leaving instances.
///
/// Polls are conditional: the response for an unchanged list has headers only.
#[derive(Clone, Debug)]
pub struct InstanceListClient {
    http: HttpClient,
    poll: Arc<Mutex<PollState>>,
}

#[derive(Debug, Default)]
struct PollState {
    etag: Option<String>,
    next_poll: Timestamp,
}

#[derive(Deserialize)]
struct ListResponse {
    instances: Vec<Value>,
}

impl InstanceListClient {
    /// Creates a client of the list service at `url`.
    pub fn new(url: &str) -> Self {
        Self { http: HttpClient::new(url), poll: Arc::default() }
    }

    /// Returns the time of the next poll.
    pub fn next_poll(&self) -> Timestamp {
        self.poll.lock().next_poll
    }

    /// Fetches the list. Entries that cannot be parsed are skipped, so that one unknown kind of instance does not hide
    /// all others.
    pub async fn fetch(&self, deadline: Timestamp) -> Result<Vec<Instance>, InstanceListError> {
        Ok(self.fetch_if_none_match(None, deadline).await?.unwrap_or_default())
    }

    /// Fetches the list if it changed since the last successful call.
    pub async fn fetch_changed(
        &self,
        deadline: Timestamp,
    ) -> Result<Option<Vec<Instance>>, InstanceListError> {
        let etag = self.poll.lock().etag.clone();
        self.fetch_if_none_match(etag.as_deref(), deadline).await
    }

    async fn fetch_if_none_match(
        &self,
        etag: Option<&str>,
        deadline: Timestamp,
    ) -> Result<Option<Vec<Instance>>, InstanceListError> {
        let polled_at = monotonic_now();
        self.poll.lock().next_poll = polled_at.plus_millis(MIN_POLL_INTERVAL_MS);
        let response = self
            .http
            .fetch_if_changed("/instances", etag, deadline)
            .await
            .map_err(|error| InstanceListError(error.to_string()))?;
        if response.status == Status::NotModified && etag.is_some() {
            return Ok(None);
        }
        let etag = response.etag.clone();
        let text = response.success().map_err(|error| InstanceListError(error.to_string()))?;
        let response: ListResponse = serde_json::from_str(&text)
            .map_err(|error| InstanceListError(format!("cannot parse the response: {error}")))?;
        let mut poll = self.poll.lock();
        if etag.is_none() {
            let interval_ms = text.len() as u64 * 1_000 / UNCONDITIONAL_POLL_BYTES_PER_SECOND;
            poll.next_poll = polled_at.plus_millis(interval_ms.max(MIN_POLL_INTERVAL_MS));
        }
        poll.etag = etag;
        Ok(Some(response.instances.into_iter().filter_map(parse_entry).collect()))
    }
}

fn parse_entry(entry: Value) -> Option<Instance> {
    match serde_json::from_value(entry) {
        Ok(instance) => Some(instance),
        Err(error) => {
            log::warn!("list: skipped an entry that cannot be parsed: {error}");
            None
        }
    }
}
