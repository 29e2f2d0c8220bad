//! The head of a caller's request.

use super::{
    Framing, HeadError, Headers,
    head::{MAX_HEADERS, has_bare_cr_or_lf},
};

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    /// The path and query, as received.
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// Whether the caller keeps the connection open after the response.
    pub(crate) keeps_alive: bool,
}

impl RequestHead {
    /// Parses a head from the start of `bytes`. Returns the head and its length, or None if it is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut fields);
        let len = match request.parse(bytes).map_err(|_| HeadError::Malformed)? {
            httparse::Status::Complete(len) => len,
            httparse::Status::Partial => return Ok(None),
        };
        if has_bare_cr_or_lf(&bytes[..len]) {
            return Err(HeadError::Malformed);
        }
        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(HeadError::Malformed);
        };
        let headers = Headers::new(request.headers);
        let framing = match (headers.is_chunked()?, headers.content_length()?) {
            (true, _) => Framing::Chunked,
            (false, Some(0) | None) => Framing::Empty,
            (false, Some(length)) => Framing::Length(length),
        };
        let is_http_1_1 = request.version == Some(1);
        let keeps_alive = is_http_1_1 && !headers.contains_token("connection", "close");
        let head =
            Self { method: method.to_owned(), target: target.to_owned(), headers, framing, keeps_alive };
        head.check()?;
        Ok(Some((head, len)))
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// Returns the value of the `Host` field.
    pub(crate) fn host(&self) -> &str {
        self.headers.get("host").unwrap_or_default()
    }

    fn check(&self) -> Result<(), HeadError> {
        let has_one_host = self.headers.get_all("host").count() == 1;
        if !has_one_host || !self.target.starts_with('/') {
            return Err(HeadError::Malformed);
        }
        Ok(())
    }
}
