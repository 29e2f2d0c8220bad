//! Client of the platform's instance list.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::Value;
use trillium_client::Status;

use crate::{Instance, monotonic_now, platform_http::PlatformHttp};

/// The shortest interval of polls, in milliseconds. Together with the lag of the list it must stay within a few seconds.
const POLL_MS: u64 = 1_000;

/// What polls of a list that does not support conditional requests may cost, in bytes per second. The list of 950
/// instances has about 160 KB, and a node may spend 27 KB/s on control.
const POLL_BYTES_PER_SECOND: u64 = 8_000;

/// Why the list could not be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("list: {0}")]
pub struct InstanceListError(String);

/// Fetches the list of live and leaving instances.
///
/// Polls are conditional: a list that did not change costs no more than its headers.
#[derive(Clone, Debug)]
pub struct InstanceListClient {
    http: PlatformHttp,
    seen: Arc<Mutex<Seen>>,
}

#[derive(Debug, Default)]
struct Seen {
    etag: Option<String>,
    next_poll: Timestamp,
}

#[derive(Deserialize)]
struct Listing {
    instances: Vec<Value>,
}

impl InstanceListClient {
    /// Prepares calls to the list at `url`.
    pub fn new(url: &str) -> Self {
        Self { http: PlatformHttp::new(url), seen: Arc::default() }
    }

    /// Returns when the list should be polled next.
    pub fn next_poll(&self) -> Timestamp {
        self.seen.lock().next_poll
    }

    /// Fetches the list. An entry that is not understood is left out, so that one foreign instance does not hide
    /// all others.
    pub async fn fetch(&self, deadline: Timestamp) -> Result<Vec<Instance>, InstanceListError> {
        Ok(self.fetch_version(None, deadline).await?.unwrap_or_default())
    }

    /// Fetches the list if it changed since the last successful call.
    pub async fn fetch_changed(
        &self,
        deadline: Timestamp,
    ) -> Result<Option<Vec<Instance>>, InstanceListError> {
        let etag = self.seen.lock().etag.clone();
        self.fetch_version(etag.as_deref(), deadline).await
    }

    async fn fetch_version(
        &self,
        etag: Option<&str>,
        deadline: Timestamp,
    ) -> Result<Option<Vec<Instance>>, InstanceListError> {
        let asked_at = monotonic_now();
        self.seen.lock().next_poll = asked_at.plus_millis(POLL_MS);
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
        let listing: Listing = serde_json::from_str(&text)
            .map_err(|error| InstanceListError(format!("the response is not understood: {error}")))?;
        let mut seen = self.seen.lock();
        if etag.is_none() {
            let interval_ms = text.len() as u64 * 1_000 / POLL_BYTES_PER_SECOND;
            seen.next_poll = asked_at.plus_millis(interval_ms.max(POLL_MS));
        }
        seen.etag = etag;
        Ok(Some(listing.instances.into_iter().filter_map(understood).collect()))
    }
}

fn understood(entry: Value) -> Option<Instance> {
    match serde_json::from_value(entry) {
        Ok(instance) => Some(instance),
        Err(error) => {
            log::warn!("list: left out an entry that is not understood: {error}");
            None
        }
    }
}
