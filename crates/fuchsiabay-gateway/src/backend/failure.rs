//! Failed attempts.

use std::fmt;

use fuchsiabay_balancer::Outcome;
use fuchsiabay_base::Verdict;

use crate::http::BodyError;

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum FailureKind {
    /// No connection could be opened.
    Connect,
    /// The request was not sent, because the server has stated meanwhile that it is leaving or wants no requests, or because the
    /// request has become known to crash servers.
    Withheld,
    /// The server reported that it is full.
    Full,
    /// The server reported that it, or a server that it depends on, cannot run the request now.
    Unavailable,
    /// Another server responded at the address.
    Misdirected,
    /// The connection was lost before the response was complete.
    ConnectionLost,
    /// The response is invalid or belongs to another request.
    InvalidResponse,
    /// The server was too slow, and the request is moved to another one.
    Slow,
    /// The server responded with an error.
    ServerError,
}

impl BodyError {
    /// Returns why an attempt failed whose response body was not read.
    pub(crate) const fn failure_kind(&self) -> FailureKind {
        match self {
            Self::Io(_) | Self::Truncated | Self::TimedOut => FailureKind::ConnectionLost,
            Self::Malformed(_) | Self::Limit(_) => FailureKind::InvalidResponse,
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Why the attempt failed.
    pub(crate) kind: FailureKind,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
}

impl Failure {
    pub(crate) const fn not_run(kind: FailureKind) -> Self {
        Self { kind, verdict: Verdict::NotRun }
    }

    pub(crate) const fn may_have_run(kind: FailureKind) -> Self {
        Self { kind, verdict: Verdict::MayHaveRun }
    }

    /// Returns what the failure implies for the server's health.
    pub(crate) const fn outcome(self) -> Outcome {
        match self.kind {
            FailureKind::Withheld | FailureKind::Full | FailureKind::Unavailable => Outcome::Neutral,
            _ => Outcome::Failure,
        }
    }
}

impl FailureKind {
    /// Returns whether nothing was sent to the server.
    pub(crate) const fn is_unsent(self) -> bool {
        matches!(self, Self::Connect | Self::Withheld)
    }

    /// Returns whether the server itself responded.
    pub(crate) const fn is_response(self) -> bool {
        matches!(self, Self::Full | Self::Unavailable)
    }

    /// Returns the name used in logs and metric labels.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Withheld => "withheld",
            Self::Full => "full",
            Self::Unavailable => "unavailable",
            Self::Misdirected => "misdirected",
            Self::ConnectionLost => "broken",
            Self::InvalidResponse => "garbled",
            Self::Slow => "slow",
            Self::ServerError => "server_error",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.kind.as_str(), self.verdict)
    }
}
