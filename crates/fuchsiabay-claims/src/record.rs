//! Records of the log stream `claims`.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, IdempotencyKey, Timestamp, WorkspaceId, WriterId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{base64::Base64, serde_as};

/// Names what runs at most once: an idempotency key within its workspace. Keys of different workspaces never
/// meet, so that no caller receives the answer of another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey {
    /// When the caller issued the key comes first in the order, so that the oldest keys are forgotten first.
    pub key: IdempotencyKey,
    /// The workspace.
    pub workspace: WorkspaceId,
}

/// Numbers the claims of one life of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// One claim on a key. No two claims are equal, because no writer uses an id twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    #[serde(flatten)]
    pub key: ClaimKey,
    /// The agent that claims it.
    pub writer: WriterId,
    /// Its id.
    pub id: ClaimId,
}

/// The recorded answer of a plain service.
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
    /// Claims a key. The first valid one by offset holds it.
    Claim {
        /// The claim.
        claim: Claim,
        /// The content hash of the call, so that the key cannot be used with another body.
        fingerprint: Fingerprint,
    },
    /// The answer of the call that ran under a claim.
    Outcome {
        /// The claim.
        claim: Claim,
        /// The answer.
        response: Arc<Response>,
    },
    /// States that the call of a claim never starts. It names the claim, so that a late or repeated release
    /// frees nothing else.
    Release {
        /// The claim.
        claim: Claim,
    },
}

impl ClaimRecord {
    /// Parses a record. Records that do not parse are none and change nothing, for every reader alike.
    pub fn parse(data: &Value) -> Option<Self> {
        Self::deserialize(data).ok()
    }

    /// Returns the claim that the record is about.
    pub fn claim(&self) -> &Claim {
        match self {
            Self::Claim { claim, .. } | Self::Outcome { claim, .. } | Self::Release { claim } => claim,
        }
    }
}

/// A record as it was read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedRecord {
    /// Its offset.
    pub offset: u64,
    /// When the log took it, on the Unix epoch.
    pub at: Timestamp,
    /// The record, or none when it does not parse.
    pub record: Option<ClaimRecord>,
}
