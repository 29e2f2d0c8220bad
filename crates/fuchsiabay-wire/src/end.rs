//! The end of an attempt.

use fuchsiabay_base::{AttemptId, Verdict};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// The last frame of an attempt. A stream without it is truncated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct End {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// Whether the attempt ran.
    pub verdict: Verdict,
    /// The number of tokens of the whole answer, resumed ones included. The receiver compares it with what
    /// it has, so that a lost frame cannot pass as a whole answer.
    #[serde(default)]
    pub total_tokens: u32,
    /// Why the attempt failed, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<AttemptError>,
    /// The answer of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response: Option<PlainResponse>,
}

/// Why an attempt failed after it was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptError {
    /// The backend server crashed or closed the connection.
    BackendLost,
    /// The backend server answered with an error.
    BackendError,
    /// The attempt was cancelled.
    Cancelled,
    /// The deadline passed.
    DeadlinePassed,
    /// The agent handed the attempt back because it is draining.
    Draining,
    /// The platform's log did not record the claim, so the call was not started.
    LogUnavailable,
    /// An earlier call with the same idempotency key holds the claim and has no recorded outcome.
    ClaimHeld,
    /// The same idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is too old or lies in the future.
    KeyOutsideWindow,
}

/// The answer of a plain service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlainResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The `Content-Type` header.
    pub content_type: String,
    /// The body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}
