//! Client of the ops HTTP server of a daemon.

use std::net::SocketAddr;

use fuchsiabay_base::Timestamp;
use serde_json::Value;
use trillium_client::Status;

use crate::http_client::HttpClient;

/// The reason why a request to a daemon's ops server failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub struct OpsError(String);

/// Queries the ops server of one daemon.
#[derive(Clone, Debug)]
pub struct OpsClient {
    http: HttpClient,
}

impl OpsClient {
    /// Creates a client of the ops server at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { http: HttpClient::new(&format!("http://{addr}")) }
    }

    /// Fetches the dump of the daemon's state.
    pub async fn state(&self, deadline: Timestamp) -> Result<Value, OpsError> {
        let text = self.http.get("/state", deadline).await.map_err(|error| OpsError(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| OpsError(format!("cannot parse the state dump: {error}")))
    }

    /// Fetches the readiness of the daemon: `Ok` if it accepts new requests, or else the reason why not.
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
