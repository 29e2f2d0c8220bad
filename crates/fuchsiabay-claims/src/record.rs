//! Records of the log stream `claims`.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, IdempotencyKey, Timestamp, WorkspaceId, WriterId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{base64::Base64, serde_as};

/// Identifies what runs at most once: an idempotency key within its workspace. Equal keys of different workspaces are
/// distinct, so that no caller receives the response to another caller's request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey {
    /// The idempotency key. It is the first field because it sorts by issue time: the oldest keys are evicted first.
    pub key: IdempotencyKey,
    /// The workspace.
    pub workspace: WorkspaceId,
}

/// Identifies a claim within one incarnation of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// A claim on a key. No two claims are equal, because a writer never reuses an id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key.
    #[serde(flatten)]
    pub key: ClaimKey,
    /// The agent that makes the claim.
    pub writer: WriterId,
    /// The id of the claim.
    pub id: ClaimId,
}

/// The recorded response of a plain service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The `Content-Type` header.
    pub content_type: String,
    /// The body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// A record of the stream `claims`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum ClaimRecord {
    /// Claims a key. The first valid claim by offset holds the key.
    Claim {
        /// The claim.
        claim: Claim,
        /// The content hash of the call, which detects a reuse of the key with another body.
        fingerprint: Fingerprint,
    },
    /// Records the response to the call that ran under a claim.
    Outcome {
        /// The claim.
        claim: Claim,
        /// The response.
        response: Arc<Response>,
    },
    /// States that the call of a claim never starts. The record names the claim, so that a late or repeated release
    /// cannot free a key that another claim holds.
    Release {
        /// The claim.
        claim: Claim,
    },
}

impl ClaimRecord {
    /// Parses a record. Returns `None` for a malformed record, which every reader ignores.
    pub fn parse(data: &Value) -> Option<Self> {
        Self::deserialize(data).ok()
    }

    /// Returns the claim that the record refers to.
    pub fn claim(&self) -> &Claim {
        match self {
            Self::Claim { claim, .. } | Self::Outcome { claim, .. } | Self::Release { claim } => claim,
        }
    }
}

/// A record as read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedRecord {
    /// The offset of the record.
    pub offset: u64,
    /// When the log appended the record, in Unix time.
    pub at: Timestamp,
    /// The record. `None` if it is malformed.
    pub record: Option<ClaimRecord>,
}
