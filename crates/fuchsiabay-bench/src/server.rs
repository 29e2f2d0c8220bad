//! HTTP server and request helpers that the fakes share.

use std::{future::Future, io, net::SocketAddr, sync::Arc};

use futures_lite::AsyncRead;
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpListener;
use trillium::{Body, Conn, Handler, Status};

/// A running HTTP server of a fake. It runs until [`Server::stop`] or the end of the process.
#[derive(Debug)]
pub struct Server {
    handle: trillium_server_common::ServerHandle,
    address: SocketAddr,
}

impl Server {
    /// Serves `handler` on `port` of 127.0.0.1. With port 0, the operating system assigns one.
    pub async fn start(port: u16, handler: impl Handler) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], port)), handler).await
    }

    /// Serves `handler` on `address`. With port 0, the operating system assigns one.
    pub async fn start_at(address: SocketAddr, handler: impl Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .spawn(handler);
        Ok(Self { handle, address })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Shuts the server down and waits until it has stopped.
    pub async fn stop(self) {
        self.handle.shut_down().await;
    }

    /// Prints the address to stdout for the parent process, then serves until the process ends.
    pub async fn serve_until_exit(self) {
        println!("listening {}", self.address);
        self.handle.swansong().await;
    }
}

/// Returns a handler that calls `f` with the shared state of a fake.
pub(crate) fn with_state<S, F, Fut>(state: &Arc<S>, f: F) -> impl Handler + use<S, F, Fut>
where
    S: Send + Sync + 'static,
    F: Fn(Conn, Arc<S>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Conn> + Send + 'static,
{
    let state = state.clone();
    move |conn: Conn| f(conn, state.clone())
}

/// Responds with `value` as JSON.
pub(crate) fn json_response(conn: Conn, status: Status, value: &impl Serialize) -> Conn {
    let Ok(body) = serde_json::to_string(value) else {
        return conn.with_status(Status::InternalServerError).halt();
    };
    conn.with_status(status).with_response_header("content-type", "application/json").with_body(body).halt()
}

/// Responds with a JSON error body.
pub(crate) fn problem_response(conn: Conn, status: Status, detail: &str) -> Conn {
    json_response(conn, status, &serde_json::json!({ "status": status as u16, "detail": detail }))
}

/// Reads the request body and parses it as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, String> {
    let text = conn.request_body_string().await.map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}

/// Returns the query parameter `name` if it is present and a number.
pub(crate) fn query_number(conn: &Conn, name: &str) -> Option<u64> {
    let pairs = conn.querystring().split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Aborts the connection in the response body, so that the client cannot tell whether its request took effect.
pub(crate) fn abort_response(conn: Conn) -> Conn {
    conn.ok(Body::new_streaming(AbortedBody, None)).halt()
}

/// A response body that fails before its first byte.
struct AbortedBody;

impl AsyncRead for AbortedBody {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        _: &mut [u8],
    ) -> std::task::Poll<io::Result<usize>> {
        std::task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}
