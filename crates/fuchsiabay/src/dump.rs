//! `fuchsiabay dump`.

use std::net::SocketAddr;

use fuchsiabay_runtime::{OpsClient, monotonic_now};
use serde_json::json;

use crate::{Exit, Report};

/// Fetches the state of the instance with the ops address `addr`.
pub(crate) async fn dump(addr: SocketAddr, timeout_ms: u64) -> Report {
    let deadline = monotonic_now().plus_millis(timeout_ms);
    match OpsClient::new(addr).state(deadline).await {
        Ok(state) => Report::new(Exit::Done, format!("{state:#}"), state),
        Err(error) => {
            let message = format!("{addr}: {error}");
            let json = json!({"result": "unavailable", "message": message});
            Report::new(Exit::Unavailable, message, json)
        }
    }
}
