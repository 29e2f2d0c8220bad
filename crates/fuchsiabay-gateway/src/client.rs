//! HTTP client for the gateway's own calls, to the store and to engines.

use std::{io, net::SocketAddr, sync::Arc};

use fuchsiabay_base::{Timestamp, Verdict};
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::FutureExt;
use smol::net::TcpStream;

use crate::body_budget::{BodyBudget, BodyLease, CALL_LIMITS, STORE_LIMITS};
use crate::http::{BodyError, BodyReader, BufferedSocket, Headers, ReadHeadError, ResponseHead, Upload};

/// Why a call returned no response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed during the call.
    #[error("connection failed: {0}")]
    Io(#[source] io::Error),
    /// The response is malformed, incomplete or too large.
    #[error("invalid response: {0}")]
    Malformed(String),
    /// The deadline passed.
    #[error("no response before the deadline")]
    DeadlinePassed,
}

impl CallError {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) => Verdict::NotRun,
            Self::Io(_) | Self::Malformed(_) | Self::DeadlinePassed => Verdict::MayHaveRun,
        }
    }
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    headers: Headers,
}

impl CallResponse {
    /// Creates a response without header fields.
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, headers: Headers::default() }
    }

    /// Returns the value of the header field `name`.
    pub fn header<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.headers.get(name)
    }
}

/// An HTTP client for one server.
///
/// It keeps one connection open between calls and closes it after any failure, because the connection may never deliver
/// another response even though the server accepts new ones.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    socket: Option<BufferedSocket>,
    budget: BodyBudget,
}

/// The memory that the responses to the calls of several clients may use together.
#[derive(Clone, Debug)]
pub(crate) struct CallBudget(BodyBudget);

impl Default for CallBudget {
    fn default() -> Self {
        Self(BodyBudget::new(CALL_LIMITS))
    }
}

impl HttpClient {
    /// Creates a client for the server at `addr`. The connection is opened by the first call.
    ///
    /// A response may be as large as a page of the store.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, socket: None, budget: BodyBudget::new(STORE_LIMITS) }
    }

    /// Creates a client whose responses share `budget` with those of other clients.
    pub(crate) fn with_budget(addr: SocketAddr, budget: &CallBudget) -> Self {
        Self { addr, socket: None, budget: budget.0.clone() }
    }

    /// Sends a GET request for `target`.
    pub async fn get(&mut self, target: &str, deadline: Timestamp) -> Result<CallResponse, CallError> {
        let head = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr);
        self.call(head.into_bytes(), deadline).await
    }

    /// Sends `body` to `target` in a POST request.
    pub async fn post(
        &mut self,
        target: &str,
        content_type: &str,
        body: &[u8],
        deadline: Timestamp,
    ) -> Result<CallResponse, CallError> {
        self.post_with_headers(target, content_type, "", body, deadline).await
    }

    /// Like [`post`](Self::post), with additional header lines, each terminated by CRLF.
    pub async fn post_with_headers(
        &mut self,
        target: &str,
        content_type: &str,
        header_lines: &str,
        body: &[u8],
        deadline: Timestamp,
    ) -> Result<CallResponse, CallError> {
        let mut bytes = format!(
            "POST {target} HTTP/1.1\r\nHost: {}\r\nContent-Type: {content_type}\r\n{header_lines}Content-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        self.call(bytes, deadline).await
    }

    async fn call(&mut self, bytes: Vec<u8>, deadline: Timestamp) -> Result<CallResponse, CallError> {
        if monotonic_now() >= deadline {
            return Err(CallError::DeadlinePassed);
        }
        let timeout = async {
            sleep_until(deadline).await;
            Err(CallError::DeadlinePassed)
        };
        // Taken out so that cancelling the call closes the connection.
        let idle = self.socket.take();
        let (response, socket) = exchange(self.addr, idle, bytes, self.budget.lease()).or(timeout).await?;
        self.socket = socket;
        Ok(response)
    }
}

async fn exchange(
    addr: SocketAddr,
    idle: Option<BufferedSocket>,
    bytes: Vec<u8>,
    mut lease: BodyLease,
) -> Result<(CallResponse, Option<BufferedSocket>), CallError> {
    let mut socket = match reusable_socket(idle).await {
        Some(socket) => socket,
        None => BufferedSocket::new(TcpStream::connect(addr).await.map_err(CallError::Connect)?),
    };
    let mut upload = Upload::new(socket.writer(), bytes, Arc::default());
    let (head, body) = upload.write_during(read_response(&mut socket, &mut lease)).await?;
    let keep = upload.is_complete() && head.keeps_alive && socket.buffered().is_empty();
    socket.release_buffer();
    let response = CallResponse { status: head.status, body, headers: head.headers };
    Ok((response, keep.then_some(socket)))
}

async fn read_response(
    socket: &mut BufferedSocket,
    lease: &mut BodyLease,
) -> Result<(ResponseHead, Vec<u8>), CallError> {
    let head = ResponseHead::read(socket, false).await.map_err(|error| match error {
        ReadHeadError::Io(error) => CallError::Io(error),
        ReadHeadError::Closed => CallError::Io(io::ErrorKind::UnexpectedEof.into()),
        ReadHeadError::Head(error) => CallError::Malformed(error.to_string()),
    })?;
    let mut body = BodyReader::new(head.framing);
    let bytes = body.read_to_end(socket, lease).await.map_err(|error| match error {
        BodyError::Io(error) => CallError::Io(error),
        error => CallError::Malformed(error.to_string()),
    })?;
    Ok((head, bytes))
}

/// Returns the idle connection unless its peer has closed it or sent data.
async fn reusable_socket(idle: Option<BufferedSocket>) -> Option<BufferedSocket> {
    let mut socket = idle?;
    socket.is_idle().await.then_some(socket)
}
