//! Submission and cancellation of attempts.

use fuchsiabay_base::{AttemptId, Fingerprint, IdempotencyKey, ServiceName, Verdict, WorkspaceId};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::LoadReport;

/// How urgent an attempt is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that may wait behind everything else.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Look-ups that somebody waits for.
    High,
}

/// What the backend server is asked to do.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Work {
    /// Generation by a model engine.
    Generate {
        /// The whole prompt.
        prompt: String,
        /// The limit of the whole answer, resumed tokens included.
        max_tokens: u32,
        /// The position to resume at. Zero starts a new answer.
        resume_from: u32,
        /// The text of the tokens before `resume_from`.
        resume_text: String,
    },
    /// A call of a plain service.
    Plain {
        /// The HTTP method.
        method: String,
        /// The path and query.
        path: String,
        /// The `Content-Type` header.
        content_type: String,
        /// The body.
        #[serde_as(as = "Base64")]
        body: Vec<u8>,
    },
}

/// Asks an agent to run one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubmitRequest {
    /// The attempt, unique for the life of the sender.
    pub attempt: AttemptId,
    /// The workspace that the request is charged to.
    pub workspace: WorkspaceId,
    /// The service that must serve it. An agent of another service refuses.
    pub service: ServiceName,
    /// Whether a second run is harmless. A call that is not idempotent needs a key.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The content hash of workspace, route and body.
    pub fingerprint: Fingerprint,
    /// How urgent the attempt is.
    pub priority: Priority,
    /// The tokens that the attempt is expected to cost.
    pub estimated_tokens: u32,
    /// Milliseconds that remain until the caller's deadline. The receiver stores a deadline at once.
    pub deadline_in_ms: u64,
    /// Runs the attempt only while nothing else runs, because it is suspected of a crash.
    pub solo: bool,
    /// The version of the configuration that the request is served under.
    pub config_version: u64,
    /// What to do.
    pub work: Work,
}

/// Why an agent did not admit an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The predicted wait passes the deadline.
    WouldMissDeadline,
    /// The agent is draining or its backend server is leaving.
    Draining,
    /// The backend server is down.
    BackendDown,
    /// The agent serves another service.
    WrongService,
    /// A call that is not idempotent came without an idempotency key.
    KeyRequired,
    /// The idempotency key is too old or lies in the future.
    KeyOutsideWindow,
    /// The platform's log is unavailable.
    LogUnavailable,
    /// The agent cannot prove that its configuration is current.
    ConfigStale,
    /// The workspace used up its share.
    WorkspaceLimit,
}

/// The answer to a [`SubmitRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum SubmitReply {
    /// The attempt was admitted. Its frames follow.
    Admitted {
        /// The load after admission.
        load: LoadReport,
    },
    /// The attempt was refused and did not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When another try may succeed, in milliseconds.
        retry_after_ms: u64,
        /// The present load.
        load: LoadReport,
    },
}

/// The answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelReply {
    /// `not-run` only when the attempt was removed before its start.
    pub verdict: Verdict,
}
