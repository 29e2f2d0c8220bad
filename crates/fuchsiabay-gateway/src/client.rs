//! HTTP calls of the gateway itself, to the store and to engines.

use std::{io, net::SocketAddr};

use fuchsiabay_base::{Timestamp, Verdict};
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::FutureExt;
use smol::net::TcpStream;

use crate::http::{BodyError, BodyReader, BufferedSocket, HeadError, ResponseHead};

/// The largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// The largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why a call gave no response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Io(#[source] io::Error),
    /// What came is no whole response.
    #[error("unusable response: {0}")]
    Malformed(String),
    /// The deadline passed.
    #[error("no response before the deadline")]
    DeadlinePassed,
}

impl CallError {
    /// Returns whether the call may have had an effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) => Verdict::NotRun,
            Self::Io(_) | Self::Malformed(_) | Self::DeadlinePassed => Verdict::MayHaveRun,
        }
    }
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// A client of one server. It keeps one connection and drops it after any failure, because an open connection may be
/// silent for good while a new one works.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    socket: Option<BufferedSocket>,
}

impl HttpClient {
    /// Prepares calls to `addr`.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr, socket: None }
    }

    /// Reads `target`.
    pub async fn get(&mut self, target: &str, deadline: Timestamp) -> Result<CallResponse, CallError> {
        let head = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr);
        self.call(head.as_bytes(), deadline).await
    }

    /// Sends `body` to `target`.
    pub async fn post(
        &mut self,
        target: &str,
        content_type: &str,
        body: &[u8],
        deadline: Timestamp,
    ) -> Result<CallResponse, CallError> {
        self.post_with_headers(target, content_type, "", body, deadline).await
    }

    /// Sends `body` to `target` with further header lines, each with its line end.
    pub async fn post_with_headers(
        &mut self,
        target: &str,
        content_type: &str,
        lines: &str,
        body: &[u8],
        deadline: Timestamp,
    ) -> Result<CallResponse, CallError> {
        let mut bytes = format!(
            "POST {target} HTTP/1.1\r\nHost: {}\r\nContent-Type: {content_type}\r\n{lines}Content-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        self.call(&bytes, deadline).await
    }

    async fn call(&mut self, bytes: &[u8], deadline: Timestamp) -> Result<CallResponse, CallError> {
        if monotonic_now() >= deadline {
            return Err(CallError::DeadlinePassed);
        }
        let late = async {
            sleep_until(deadline).await;
            Err(CallError::DeadlinePassed)
        };
        // The connection is taken out, so that a call that is given up drops it.
        let kept = self.socket.take();
        let (response, socket) = exchange(self.addr, kept, bytes).or(late).await?;
        self.socket = socket;
        Ok(response)
    }
}

async fn exchange(
    addr: SocketAddr,
    kept: Option<BufferedSocket>,
    bytes: &[u8],
) -> Result<(CallResponse, Option<BufferedSocket>), CallError> {
    let mut socket = match quiet(kept).await {
        Some(socket) => socket,
        None => BufferedSocket::new(TcpStream::connect(addr).await.map_err(CallError::Connect)?),
    };
    socket.write_all(bytes).await.map_err(CallError::Io)?;
    let head = read_head(&mut socket).await?;
    let mut body = BodyReader::new(head.framing);
    let bytes = body.read_to_end(&mut socket, MAX_RESPONSE_BYTES).await.map_err(|error| match error {
        BodyError::Io(error) => CallError::Io(error),
        error => CallError::Malformed(error.to_string()),
    })?;
    let keep = head.keeps_alive && socket.buffered().is_empty();
    socket.release_buffer();
    Ok((CallResponse { status: head.status, body: bytes }, keep.then_some(socket)))
}

/// Returns the kept connection if its peer has neither closed it nor sent anything.
async fn quiet(kept: Option<BufferedSocket>) -> Option<BufferedSocket> {
    let mut socket = kept?;
    socket.is_idle().await.then_some(socket)
}

async fn read_head(socket: &mut BufferedSocket) -> Result<ResponseHead, CallError> {
    let malformed = |error: HeadError| CallError::Malformed(error.to_string());
    loop {
        if let Some((head, len)) = ResponseHead::parse(socket.buffered(), false).map_err(malformed)? {
            socket.consume(len);
            if head.status >= 200 {
                return Ok(head);
            }
            continue;
        }
        if socket.buffered().len() > MAX_HEAD_BYTES {
            return Err(malformed(HeadError::Malformed));
        }
        if socket.fill().await.map_err(CallError::Io)? == 0 {
            return Err(CallError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}
