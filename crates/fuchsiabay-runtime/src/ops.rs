//! The ops HTTP server of a daemon, which operators and probes query.

use std::{io, net::SocketAddr, sync::Arc};

use serde_json::Value;
use smol::net::TcpListener;
use trillium::{Conn, KnownHeaderName, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;

use crate::{metrics_export, spawn};

/// The state that a daemon exposes to its operators.
pub trait OpsSource: Send + Sync + 'static {
    /// Returns a full dump of the process's state as a JSON object.
    ///
    /// Its field `config` holds the state of the configuration follower, from which `fuchsiabay status` reads
    /// `version` and `preset`.
    fn state(&self) -> Value;

    /// Returns `Ok` if the process accepts new requests, or else the reason why not.
    fn readiness(&self) -> Result<(), String>;
}

/// An HTTP server for `GET /state`, `/healthz`, `/readyz` and `/metrics`.
pub struct OpsServer {
    local_addr: SocketAddr,
    handle: ServerHandle,
}

impl OpsServer {
    /// Listens on `addr` and serves the state of `source` in the background. Installs the metrics recorder.
    pub async fn start<S: OpsSource>(addr: SocketAddr, source: Arc<S>) -> io::Result<Self> {
        metrics_export::install();
        spawn(metrics_export::run_upkeep()).detach();
        let listener = TcpListener::bind(addr).await?;
        let local_addr = listener.local_addr()?;
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .spawn(router(source));
        Ok(Self { local_addr, handle })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Stops accepting connections and waits for open requests to end.
    pub async fn stop(self) {
        self.handle.shut_down().await;
    }
}

fn router<S: OpsSource>(source: Arc<S>) -> Router {
    let state_source = source.clone();
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/metrics", |conn: Conn| async move { metrics_response(conn) })
        .get("/state", move |conn: Conn| {
            let body = state_source.state().to_string();
            async move { conn.with_response_header(KnownHeaderName::ContentType, "application/json").ok(body) }
        })
        .get("/readyz", move |conn: Conn| {
            let readiness = source.readiness();
            async move { readiness_response(conn, readiness) }
        })
}

fn metrics_response(conn: Conn) -> Conn {
    // 0.0.4 is the version of the Prometheus text exposition format.
    conn.with_response_header(KnownHeaderName::ContentType, "text/plain; version=0.0.4")
        .ok(metrics_export::render())
}

fn readiness_response(conn: Conn, readiness: Result<(), String>) -> Conn {
    match readiness {
        Ok(()) => conn.ok("ready\n"),
        Err(reason) => {
            conn.with_status(Status::ServiceUnavailable).with_body(format!("not ready: {reason}\n")).halt()
        }
    }
}
