//! Failed attempts.

use std::fmt;

use fuchsiabay_balancer::Outcome;
use fuchsiabay_base::Verdict;

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum FailureKind {
    /// No connection could be opened.
    Connect,
    /// The server said that it is full.
    Full,
    /// The server said that it, or a server that it depends on, cannot run the request now.
    Unavailable,
    /// Another server has the address.
    Misdirected,
    /// The connection broke before the response was whole.
    Broken,
    /// The response is not one to this request, or not HTTP.
    Garbled,
    /// The server took longer than an attempt may.
    Slow,
    /// The server answered with a failure of its own.
    ServerError,
}

/// A failed attempt, with what is known of its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// What went wrong.
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

    /// Returns what the failure says about the server's health.
    pub(crate) const fn outcome(self) -> Outcome {
        match self.kind {
            FailureKind::Full | FailureKind::Unavailable => Outcome::Neutral,
            _ => Outcome::Failure,
        }
    }
}

impl FailureKind {
    /// Returns the name used in logs and metric labels.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Full => "full",
            Self::Unavailable => "unavailable",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
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
