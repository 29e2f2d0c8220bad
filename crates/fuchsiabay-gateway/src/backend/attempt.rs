//! Sends a request to one server and reads the response.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use super::{Connection, Failure, FailureKind, OutgoingRequest};
use crate::{
    HeaderNames,
    body_budget::BodyLease,
    http::{BodyError, BodyReader, ReadHeadError, ResponseHead, Upload},
};

/// An attempt whose response head was received.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) connection: Connection,
    pub(crate) response: Response,
    upload: Upload,
    body: BodyReader,
}

/// A response head that was checked to belong to the request.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) head: ResponseHead,
    /// Whether the whole request was written before the head arrived. Otherwise the server may not read the rest, and the
    /// connection must not be reused.
    pub(crate) request_was_sent: bool,
}

impl Attempt {
    /// Sends `bytes` on `connection` and reads the response head. `observe` is called with the head of every response of the
    /// server to this request, also if the server refuses it. `is_sent` is set once anything was written. The
    /// connection is dropped on failure.
    pub(crate) async fn start(
        mut connection: Connection,
        req: &OutgoingRequest,
        bytes: Vec<u8>,
        header_names: &HeaderNames,
        is_sent: &Arc<AtomicBool>,
        observe: impl FnOnce(&ResponseHead),
    ) -> Result<Self, Failure> {
        let mut upload = Upload::new(connection.socket.writer(), bytes, Arc::clone(is_sent));
        let head = upload
            .write_during(ResponseHead::read(&mut connection.socket, req.is_head_request))
            .await
            .map_err(|error| head_failure(&error, is_sent.load(Ordering::Relaxed)))?;
        if !upload.is_complete() {
            // The server may end its response without reading the rest of the request. The request has a deadline.
            connection.socket.disable_user_timeout();
        }
        let response = Response { head, request_was_sent: upload.is_complete() };
        check_identity(&response.head, req, header_names)?;
        observe(&response.head);
        check_outcome(&response.head, header_names)?;
        let body = BodyReader::new(response.head.framing);
        Ok(Self { connection, response, upload, body })
    }

    /// Appends the next part of the body to `out`, which may be empty.
    pub(crate) async fn read_some(&mut self, out: &mut Vec<u8>) -> Result<(), BodyError> {
        let read = self.body.read_some(&mut self.connection.socket, out);
        self.upload.write_during(read).await
    }

    /// Reads the rest of the body, as far as the limits of `lease` allow it.
    pub(crate) async fn read_to_end(&mut self, lease: &mut BodyLease) -> Result<Vec<u8>, BodyError> {
        let read = self.body.read_to_end(&mut self.connection.socket, lease);
        self.upload.write_during(read).await
    }

    /// Returns whether the body was read to its end.
    pub(crate) fn is_done(&self) -> bool {
        self.body.is_done()
    }

    /// Returns whether the connection can be reused for another request.
    pub(crate) fn is_reusable(&self) -> bool {
        self.body.is_done()
            && self.response.request_was_sent
            && self.response.head.keeps_alive
            && self.connection.socket.buffered().is_empty()
    }
}

/// Returns the failure of an attempt whose response head was not read. A connection that was lost before anything was written
/// is the same as one that was refused.
fn head_failure(error: &ReadHeadError, is_sent: bool) -> Failure {
    log::debug!("backend: no response head: {error}");
    match error {
        ReadHeadError::Io(_) | ReadHeadError::Closed if !is_sent => Failure::not_run(FailureKind::Connect),
        ReadHeadError::Io(_) | ReadHeadError::Closed => Failure::may_have_run(FailureKind::ConnectionLost),
        ReadHeadError::Head(_) => Failure::may_have_run(FailureKind::InvalidResponse),
    }
}

/// Checks that the response belongs to the request and comes from the server that it was sent to.
fn check_identity(
    head: &ResponseHead,
    req: &OutgoingRequest,
    header_names: &HeaderNames,
) -> Result<(), Failure> {
    // A response with another id, or without one, may be a late copy of the response to an earlier request.
    if head.headers.get(header_names.request_id).unwrap_or_default() != req.request_id {
        return Err(Failure::may_have_run(FailureKind::InvalidResponse));
    }
    if head.status == 421 {
        return Err(Failure::not_run(FailureKind::Misdirected));
    }
    Ok(())
}

/// Fails if the server reports that the request did not run, or if the response is invalid.
fn check_outcome(head: &ResponseHead, header_names: &HeaderNames) -> Result<(), Failure> {
    let headers = &head.headers;
    if headers.get(header_names.not_run).is_some() {
        let is_group_fault = headers.get(header_names.at_fault).is_some();
        let kind = if is_group_fault { FailureKind::Unavailable } else { FailureKind::Full };
        return Err(Failure::not_run(kind));
    }
    if head.is_success() {
        let is_valid = headers.get(header_names.stamp).is_some()
            && headers.get(header_names.request_id).is_some()
            && headers.get("content-encoding").is_none();
        return if is_valid { Ok(()) } else { Err(Failure::may_have_run(FailureKind::InvalidResponse)) };
    }
    // An error response without the stamp may come from something other than the server.
    if headers.get(header_names.stamp).is_none() && (head.status >= 500 || head.reads_as_not_run()) {
        return Err(Failure::may_have_run(FailureKind::ServerError));
    }
    Ok(())
}
