//! Messages to submit and cancel attempts.

use fuchsiabay_base::{AttemptId, Fingerprint, IdempotencyKey, ServiceName, Verdict, WorkspaceId};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::LoadReport;

/// The priority of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Background work that may wait for all other work.
    Low,
    /// Regular work.
    #[default]
    Normal,
    /// Interactive look-ups.
    High,
}

/// The work of an attempt.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Work {
    /// Text generation by a model engine.
    Generate {
        /// The complete prompt.
        prompt: String,
        /// The maximum number of tokens of the complete response, including those before a resumption.
        max_tokens: u32,
        /// The token position to resume at. Zero starts a new response.
        resume_from: u32,
        /// The text of the tokens before `resume_from`.
        resume_text: String,
    },
    /// A call to a plain service.
    Plain {
        /// The HTTP method.
        method: String,
        /// The path and query string.
        path: String,
        /// The value of the `Content-Type` header.
        content_type: String,
        /// The body.
        #[serde_as(as = "Base64")]
        body: Vec<u8>,
    },
}

/// Requests that an agent run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubmitRequest {
    /// The id of the attempt, unique within one incarnation of the sender.
    pub attempt: AttemptId,
    /// The workspace that the request is charged to.
    pub workspace: WorkspaceId,
    /// The service that the request is for. An agent of another service refuses it.
    pub service: ServiceName,
    /// Whether the call is idempotent, so that a second run is harmless. A non-idempotent call needs an idempotency
    /// key.
    pub idempotent: bool,
    /// The idempotency key that the caller sent, if any.
    pub key: Option<IdempotencyKey>,
    /// The content hash of workspace, route and body.
    pub fingerprint: Fingerprint,
    /// The priority of the attempt.
    pub priority: Priority,
    /// The estimated token cost of the attempt.
    pub estimated_tokens: u32,
    /// The time left until the caller's deadline, in milliseconds. The receiver converts it to a deadline on receipt.
    pub deadline_in_ms: u64,
    /// Whether the attempt must run alone, because it is suspected of crashing backend servers.
    pub solo: bool,
    /// The version of the configuration that the request is served under.
    pub config_version: u64,
    /// The work to do.
    pub work: Work,
}

/// Why an agent refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The predicted wait exceeds the time left until the deadline.
    WouldMissDeadline,
    /// The agent is draining, after a shutdown signal or because the instance list marks it as leaving.
    Draining,
    /// The backend server is down.
    BackendDown,
    /// The agent's backend server offers another service.
    WrongService,
    /// A non-idempotent call has no idempotency key.
    KeyRequired,
    /// The time in the idempotency key is too old or in the future.
    KeyOutsideWindow,
    /// The platform's log is unavailable.
    LogUnavailable,
    /// The agent cannot confirm that its configuration is current.
    ConfigStale,
    /// The workspace has used up its share.
    WorkspaceLimit,
}

/// The reply to a [`SubmitRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum SubmitReply {
    /// The attempt was admitted. Its token and end frames follow.
    Admitted {
        /// The load after admission.
        load: LoadReport,
    },
    /// The attempt was refused and did not run.
    Refused {
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
        /// The current load.
        load: LoadReport,
    },
}

/// The reply to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelReply {
    /// Whether the attempt may have run. It is `not-run` only if the attempt was removed before it started.
    pub verdict: Verdict,
}
