//! Error responses as RFC 9457 problem details.

use fuchsiabay_base::{Timestamp, Verdict};
use fuchsiabay_routing::{Failure, FailureKind};
use fuchsiabay_wire::{AttemptError, RefusalReason};
use serde::Serialize;
use trillium::{Conn, KnownHeaderName};

use crate::headers::VERDICT_HEADER;

/// The value of `Retry-After` when the time for a retry is unknown, in seconds.
const DEFAULT_RETRY_SECONDS: u64 = 1;

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct ProblemDetails {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: String,
    verdict: Verdict,
    #[serde(skip)]
    retry_after_s: Option<u64>,
}

impl ProblemDetails {
    /// Builds the problem details of a request that did not run. `name` identifies the problem type.
    pub(crate) fn not_run(status: u16, name: &str, title: &'static str, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:fuchsiabay:problem:{name}"),
            title,
            status,
            detail: detail.into(),
            verdict: Verdict::NotRun,
            retry_after_s: None,
        }
    }

    /// Builds the problem details of a malformed request.
    pub(crate) fn bad_request(detail: impl Into<String>) -> Self {
        Self::not_run(400, "bad-request", "The request is malformed", detail)
    }

    /// Sets when a retry may succeed.
    pub(crate) fn with_retry_at(mut self, retry_at: Timestamp, now: Timestamp) -> Self {
        self.retry_after_s = Some(retry_at.millis_since(now).div_ceil(1000).max(1));
        self
    }

    /// Builds the problem details of a failed request.
    pub(crate) fn from_failure(failure: &Failure, now: Timestamp) -> Self {
        let (status, name, title) = describe_failure(failure.kind);
        let detail = match failure.verdict {
            Verdict::NotRun => "The request did not run.",
            Verdict::MayHaveRun => "The request may have run.",
            Verdict::Ran => "The request ran without a usable answer.",
        };
        let problem = Self::not_run(status, name, title, detail);
        let problem = failure.retry_at.into_iter().fold(problem, |p, at| p.with_retry_at(at, now));
        Self { verdict: failure.verdict, ..problem }
    }

    /// Returns the JSON body.
    pub(crate) fn body(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Sends the problem as the response on `conn`.
    pub(crate) fn respond(&self, conn: Conn) -> Conn {
        let mut conn = conn
            .with_status(self.status)
            .with_response_header(KnownHeaderName::ContentType, "application/problem+json")
            .with_response_header(VERDICT_HEADER, self.verdict.as_str())
            .with_body(self.body());
        if matches!(self.status, 429 | 503) {
            let seconds = self.retry_after_s.unwrap_or(DEFAULT_RETRY_SECONDS);
            conn.insert_response_header(KnownHeaderName::RetryAfter, seconds.to_string());
        }
        conn.halt()
    }
}

fn describe_failure(kind: FailureKind) -> (u16, &'static str, &'static str) {
    match kind {
        FailureKind::NoServer => (503, "no-server", "No backend server takes work"),
        FailureKind::Refused(reason) => describe_refusal(reason),
        FailureKind::Attempt(error) => describe_error(error),
        FailureKind::ConnectionLost => (502, "connection-lost", "The connection to the backend was lost"),
        FailureKind::Protocol => (502, "protocol", "The backend's answer contradicts itself"),
        FailureKind::TooLarge => (413, "request-too-large", "The request is too large for the backend"),
        FailureKind::DeadlinePassed => (504, "deadline", "The deadline passed"),
        FailureKind::CallerGone => (499, "caller-gone", "The caller closed the connection"),
        FailureKind::Quarantined => (422, "quarantined", "The request crashes backend servers"),
    }
}

fn describe_refusal(reason: RefusalReason) -> (u16, &'static str, &'static str) {
    match reason {
        RefusalReason::QueueFull => (429, "queue-full", "The queues are full"),
        RefusalReason::WouldMissDeadline => (503, "would-miss-deadline", "The wait would pass the deadline"),
        RefusalReason::Draining => (503, "draining", "The backend server is leaving"),
        RefusalReason::BackendDown => (503, "backend-down", "The backend server is down"),
        RefusalReason::WrongService => (503, "wrong-service", "The backend server serves another service"),
        RefusalReason::KeyRequired => (400, "key-required", "An Idempotency-Key is required"),
        RefusalReason::KeyOutsideWindow => {
            (400, "key-outside-window", "The Idempotency-Key is too old or early")
        }
        RefusalReason::LogUnavailable => (503, "log-unavailable", "The claim cannot be recorded"),
        RefusalReason::ConfigStale => (503, "config-stale", "The configuration is not proved current"),
        RefusalReason::WorkspaceLimit => (429, "workspace-limit", "The workspace used up its share"),
    }
}

fn describe_error(error: AttemptError) -> (u16, &'static str, &'static str) {
    match error {
        AttemptError::BackendLost => (502, "backend-lost", "The backend server crashed"),
        AttemptError::BackendError => (502, "backend-error", "The backend server answered with an error"),
        AttemptError::Cancelled => (503, "cancelled", "The attempt was cancelled"),
        AttemptError::DeadlinePassed => (504, "deadline", "The deadline passed"),
        AttemptError::Draining => (503, "draining", "The backend server is leaving"),
        AttemptError::LogUnavailable => (503, "log-unavailable", "The claim cannot be recorded"),
        AttemptError::ClaimHeld => (409, "claim-held", "An earlier call with this key has no known outcome"),
        AttemptError::KeyReused => (422, "key-reused", "The Idempotency-Key was used with another body"),
        AttemptError::KeyOutsideWindow => {
            (400, "key-outside-window", "The Idempotency-Key is too old or early")
        }
    }
}
