//! Client of the operators' HTTP of a daemon.

use std::net::SocketAddr;

use fuchsiabay_base::Timestamp;
use serde_json::Value;
use trillium_client::Status;

use crate::platform_http::PlatformHttp;

/// Why a daemon could not be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub struct OpsError(String);

/// Asks one daemon for what it shows its operators.
#[derive(Clone, Debug)]
pub struct OpsClient {
    http: PlatformHttp,
}

impl OpsClient {
    /// Prepares calls to the operators' address `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { http: PlatformHttp::new(&format!("http://{addr}")) }
    }

    /// Returns the dump of the daemon's state.
    pub async fn state(&self, deadline: Timestamp) -> Result<Value, OpsError> {
        let text = self.http.get("/state", deadline).await.map_err(|error| OpsError(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| OpsError(format!("the dump is not understood: {error}")))
    }

    /// Returns whether the daemon takes new work, or else why not.
    pub async fn readiness(&self, deadline: Timestamp) -> Result<Result<(), String>, OpsError> {
        let response =
            self.http.fetch("/readyz", deadline).await.map_err(|error| OpsError(error.to_string()))?;
        match response.status {
            status if status.is_success() => Ok(Ok(())),
            Status::ServiceUnavailable => {
                let reason = response.body.trim();
                Ok(Err(reason.strip_prefix("not ready: ").unwrap_or(reason).to_owned()))
            }
            status => Err(OpsError(format!("unexpected status {}", status as u16))),
        }
    }
}
