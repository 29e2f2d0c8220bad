//! Serving of one stand-in.

use std::{future::Future, io, net::SocketAddr, sync::Arc};

use futures_lite::AsyncRead;
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpListener;
use trillium::{Body, Conn, Handler, Status};

/// A running stand-in. It stops when the process ends or when it is shut down.
#[derive(Debug)]
pub struct Server {
    handle: trillium_server_common::ServerHandle,
    address: SocketAddr,
}

impl Server {
    /// Serves `handler` at `port` of 127.0.0.1. Port 0 lets the kernel choose.
    pub async fn start(port: u16, handler: impl Handler) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], port)), handler).await
    }

    /// Serves `handler` at `address`. Port 0 lets the kernel choose.
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

    /// Returns the address that the stand-in listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of the stand-in.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops the stand-in.
    pub async fn stop(self) {
        self.handle.shut_down().await;
    }

    /// Prints the address for the process that started the stand-in, and serves until the process ends.
    pub async fn serve_until_exit(self) {
        println!("listening {}", self.address);
        self.handle.swansong().await;
    }
}

/// Binds a handler function to the state of a stand-in.
pub(crate) fn with<S, F, Fut>(state: &Arc<S>, f: F) -> impl Handler + use<S, F, Fut>
where
    S: Send + Sync + 'static,
    F: Fn(Conn, Arc<S>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Conn> + Send + 'static,
{
    let state = state.clone();
    move |conn: Conn| f(conn, state.clone())
}

/// Answers with `value` as JSON.
pub(crate) fn json(conn: Conn, status: Status, value: &impl Serialize) -> Conn {
    let Ok(body) = serde_json::to_string(value) else {
        return conn.with_status(Status::InternalServerError).halt();
    };
    conn.with_status(status).with_response_header("content-type", "application/json").with_body(body).halt()
}

/// Answers with a problem.
pub(crate) fn problem(conn: Conn, status: Status, detail: &str) -> Conn {
    json(conn, status, &serde_json::json!({ "status": status as u16, "detail": detail }))
}

/// Reads the request body as JSON.
pub(crate) async fn body<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, String> {
    let text = conn.request_body_string().await.map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}

/// Returns the number in the query parameter `name`.
pub(crate) fn query(conn: &Conn, name: &str) -> Option<u64> {
    let pairs = conn.querystring().split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Breaks the connection off, so that the caller cannot tell what became of its request.
pub(crate) fn abort(conn: Conn) -> Conn {
    conn.ok(Body::new_streaming(BrokenBody, None)).halt()
}

/// A body that fails before its first byte.
struct BrokenBody;

impl AsyncRead for BrokenBody {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        _: &mut [u8],
    ) -> std::task::Poll<io::Result<usize>> {
        std::task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}
