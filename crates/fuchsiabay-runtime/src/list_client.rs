//! Client of the platform's instance list.

use fuchsiabay_base::Timestamp;
use serde::Deserialize;
use serde_json::Value;

use crate::{Instance, platform_http::PlatformHttp};

/// Why the list could not be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("list: {0}")]
pub struct ListError(String);

/// Fetches the list of live and leaving instances.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: PlatformHttp,
}

#[derive(Deserialize)]
struct Listing {
    instances: Vec<Value>,
}

impl ListClient {
    /// Prepares calls to the list at `url`.
    pub fn new(url: &str) -> Self {
        Self { http: PlatformHttp::new(url) }
    }

    /// Fetches the list. An entry that is not understood is left out, so that one foreign instance does not hide
    /// all others.
    pub async fn fetch(&self, deadline: Timestamp) -> Result<Vec<Instance>, ListError> {
        let text =
            self.http.get("/instances", deadline).await.map_err(|error| ListError(error.to_string()))?;
        let listing: Listing = serde_json::from_str(&text)
            .map_err(|error| ListError(format!("the response is not understood: {error}")))?;
        Ok(listing.instances.into_iter().filter_map(understood).collect())
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
