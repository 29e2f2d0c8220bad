//! HTTP clients for the gateway's own calls to several servers.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::Timestamp;
use parking_lot::Mutex;

use crate::client::{CallBudget, CallError, CallResponse, HttpClient};

/// The idle clients of several servers, one for each address. Their responses share a memory budget.
#[derive(Debug, Default)]
pub struct ClientPool {
    idle: Mutex<HashMap<SocketAddr, HttpClient>>,
    budget: CallBudget,
}

impl ClientPool {
    /// Sends a GET request for `target` to the server at `addr`.
    pub async fn get(
        &self,
        addr: SocketAddr,
        target: &str,
        deadline: Timestamp,
    ) -> Result<CallResponse, CallError> {
        let mut client = self.take(addr);
        let result = client.get(target, deadline).await;
        self.idle.lock().insert(addr, client);
        result
    }

    /// Sends `body`, which is JSON, to `target` at `addr` in a POST request with additional header lines, each terminated by CRLF.
    pub async fn post_json(
        &self,
        addr: SocketAddr,
        target: &str,
        header_lines: &str,
        body: &[u8],
        deadline: Timestamp,
    ) -> Result<CallResponse, CallError> {
        let mut client = self.take(addr);
        let result = client.post_with_headers(target, "application/json", header_lines, body, deadline).await;
        self.idle.lock().insert(addr, client);
        result
    }

    /// Sends a request as [`post_json`](Self::post_json) does, without additional header lines, on a connection of its own. No late
    /// copy of an earlier response is taken for the response to it.
    pub async fn post_json_once(
        &self,
        addr: SocketAddr,
        target: &str,
        body: &[u8],
        deadline: Timestamp,
    ) -> Result<CallResponse, CallError> {
        let mut client = HttpClient::with_budget(addr, &self.budget);
        client.post(target, "application/json", body, deadline).await
    }

    fn take(&self, addr: SocketAddr) -> HttpClient {
        self.idle.lock().remove(&addr).unwrap_or_else(|| HttpClient::with_budget(addr, &self.budget))
    }
}
