//! The head of a backend server's response.

use std::{io, ops::RangeInclusive};

use super::{
    BufferedSocket, Framing, HeadError, Headers,
    head::{MAX_HEADERS, has_bare_cr_or_lf},
};

/// The maximum size of a response head and of the interim responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The status codes that HTTP allows. Others have no class, so it is unknown what the response means and where it ends.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Why no response head was read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ReadHeadError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the end of the head.
    #[error("the connection was closed before the end of the head")]
    Closed,
    /// The head is malformed or too large.
    #[error(transparent)]
    Head(#[from] HeadError),
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// Whether the server keeps the connection open after the response.
    pub(crate) keeps_alive: bool,
}

impl ResponseHead {
    /// Parses a head from the start of `bytes`. Returns the head and its length, or None if it is incomplete.
    pub(crate) fn parse(bytes: &[u8], to_head_request: bool) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let len = match response.parse(bytes).map_err(|_| HeadError::Malformed)? {
            httparse::Status::Complete(len) => len,
            httparse::Status::Partial => return Ok(None),
        };
        if has_bare_cr_or_lf(&bytes[..len]) {
            return Err(HeadError::Malformed);
        }
        let status = response.code.filter(|code| STATUS_CODES.contains(code)).ok_or(HeadError::Malformed)?;
        let headers = Headers::new(response.headers);
        let has_no_body = to_head_request || status < 200 || status == 204 || status == 304;
        let framing = match (headers.is_chunked()?, headers.content_length()?) {
            _ if has_no_body => Framing::Empty,
            (true, _) => Framing::Chunked,
            (false, Some(0)) => Framing::Empty,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilClose,
        };
        let keeps_alive = response.version == Some(1)
            && framing != Framing::UntilClose
            && !headers.contains_token("connection", "close");
        Ok(Some((Self { status, headers, framing, keeps_alive }, len)))
    }

    /// Reads a head from `socket`. Interim responses are skipped.
    pub(crate) async fn read(
        socket: &mut BufferedSocket,
        to_head_request: bool,
    ) -> Result<Self, ReadHeadError> {
        let mut skipped = 0;
        loop {
            if skipped + socket.buffered().len() > MAX_HEAD_BYTES {
                return Err(HeadError::TooLarge.into());
            }
            match Self::parse(socket.buffered(), to_head_request)? {
                Some((head, len)) => {
                    socket.consume(len);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    skipped += len;
                }
                None if socket.fill().await? == 0 => return Err(ReadHeadError::Closed),
                None => {}
            }
        }
    }

    /// Returns whether callers take the status code as a promise that the request did not run.
    pub(crate) const fn reads_as_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }

    /// Returns whether the status code is 2xx.
    pub(crate) const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}
