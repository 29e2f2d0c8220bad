//! One attempt: sends a request to one server and reads the head of its response.

use std::{future::Future, io, pin::pin, task::Poll};

use futures_lite::future;
use smol::io::AsyncWriteExt;

use super::{Connection, Failure, FailureKind, OutgoingRequest};
use crate::{
    Dialect,
    http::{BodyReader, BufferedSocket, HeadError, ResponseHead},
};

/// The longest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An attempt whose response head has arrived.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) connection: Connection,
    pub(crate) response: Response,
    pub(crate) body: BodyReader,
}

/// The head of a response that belongs to the request.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) head: ResponseHead,
    /// Whether the request was written to its end before the head arrived. Otherwise the server still expects the rest,
    /// and the connection must not be used again.
    pub(crate) request_was_sent: bool,
}

impl Attempt {
    /// Sends `bytes` on `connection` and reads the response head. The connection is dropped with every failure.
    pub(crate) async fn start(
        mut connection: Connection,
        req: &OutgoingRequest,
        bytes: &[u8],
        dialect: &Dialect,
    ) -> Result<Self, Failure> {
        let (head, request_was_sent) = exchange(&mut connection.socket, bytes, req.is_head_request)
            .await
            .map_err(|error| error.failure())?;
        let response = Response { head, request_was_sent };
        check(&response.head, req, dialect)?;
        let body = BodyReader::new(response.head.framing);
        Ok(Self { connection, response, body })
    }

    /// Returns whether the connection can carry another request now that the response was read.
    pub(crate) fn is_reusable(&self) -> bool {
        self.body.is_done()
            && self.response.request_was_sent
            && self.response.head.keeps_alive
            && self.connection.socket.buffered().is_empty()
    }
}

enum ExchangeError {
    Io(io::Error),
    Closed,
    Head(HeadError),
}

impl ExchangeError {
    fn failure(&self) -> Failure {
        match self {
            Self::Io(error) => {
                log::debug!("backend: connection broke: {error}");
                Failure::may_have_run(FailureKind::Broken)
            }
            Self::Closed => Failure::may_have_run(FailureKind::Broken),
            Self::Head(error) => {
                log::debug!("backend: unusable response head: {error}");
                Failure::may_have_run(FailureKind::Garbled)
            }
        }
    }
}

/// Writes the request and reads the response head, both at a time, because a server may answer before it has read all.
async fn exchange(
    socket: &mut BufferedSocket,
    bytes: &[u8],
    to_head_request: bool,
) -> Result<(ResponseHead, bool), ExchangeError> {
    let mut writer = socket.writer();
    let mut write = pin!(async move { writer.write_all(bytes).await });
    let mut read = pin!(read_head(socket, to_head_request));
    // None while the request is being written, then whether that succeeded.
    let mut written: Option<bool> = None;
    future::poll_fn(|cx| {
        if written.is_none()
            && let Poll::Ready(result) = write.as_mut().poll(cx)
        {
            // A server that answers early may close its reading side. Its response still counts.
            if let Err(error) = &result {
                log::debug!("backend: request not written to its end: {error}");
            }
            written = Some(result.is_ok());
        }
        read.as_mut().poll(cx).map(|head| head.map(|head| (head, written == Some(true))))
    })
    .await
}

async fn read_head(
    socket: &mut BufferedSocket,
    to_head_request: bool,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        if let Some((head, len)) =
            ResponseHead::parse(socket.buffered(), to_head_request).map_err(ExchangeError::Head)?
        {
            socket.consume(len);
            // Interim responses say nothing about the request.
            if head.status >= 200 {
                return Ok(head);
            }
            continue;
        }
        if socket.buffered().len() > MAX_HEAD_BYTES {
            return Err(ExchangeError::Head(HeadError::Malformed));
        }
        if socket.fill().await.map_err(ExchangeError::Io)? == 0 {
            return Err(ExchangeError::Closed);
        }
    }
}

/// Checks that the response belongs to the request, and whether it says that the request did not run.
fn check(head: &ResponseHead, req: &OutgoingRequest, dialect: &Dialect) -> Result<(), Failure> {
    let headers = &head.headers;
    if let Some(echo) = headers.get(dialect.request_id)
        && echo != req.request_id
    {
        return Err(Failure::may_have_run(FailureKind::Garbled));
    }
    if head.status == 421 {
        return Err(Failure::not_run(FailureKind::Misdirected));
    }
    if headers.get(dialect.not_run).is_some() {
        let is_group = headers.get(dialect.at_fault).is_some();
        let kind = if is_group { FailureKind::Unavailable } else { FailureKind::Full };
        return Err(Failure::not_run(kind));
    }
    if head.is_success() {
        let is_whole = headers.get(dialect.stamp).is_some()
            && headers.get(dialect.request_id).is_some()
            && headers.get("content-encoding").is_none();
        return if is_whole { Ok(()) } else { Err(Failure::may_have_run(FailureKind::Garbled)) };
    }
    // A failure without the server's mark is not known to be its own word, and these statuses would promise the caller
    // that the request did not run.
    let promises_not_run = matches!(head.status, 408 | 429);
    if headers.get(dialect.stamp).is_none() && (head.status >= 500 || promises_not_run) {
        return Err(Failure::may_have_run(FailureKind::ServerError));
    }
    Ok(())
}
