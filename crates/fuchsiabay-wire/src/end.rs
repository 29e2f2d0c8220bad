//! The final frame of an attempt.

use fuchsiabay_base::{AttemptId, Verdict};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// The last frame of an attempt. A token stream without it is truncated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct End {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// Whether the attempt ran.
    pub verdict: Verdict,
    /// The number of tokens of the complete response, including those before a resumption. The receiver compares it
    /// with the tokens it received, so that a response with a lost frame does not count as complete.
    #[serde(default)]
    pub total_tokens: u32,
    /// Why the attempt failed, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<AttemptError>,
    /// The response of a plain service, if it sent one.
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
    /// The backend server responded with an error.
    BackendError,
    /// The attempt was cancelled.
    Cancelled,
    /// The deadline passed.
    DeadlinePassed,
    /// The agent handed the attempt back because it is draining.
    Draining,
    /// The platform's log did not record the claim on the idempotency key, so the call was not started.
    LogUnavailable,
    /// An earlier call with the same idempotency key holds the claim, and its outcome is not recorded.
    ClaimHeld,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The time in the idempotency key is too old or in the future.
    KeyOutsideWindow,
}

/// The HTTP response of a plain service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlainResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// The body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}
