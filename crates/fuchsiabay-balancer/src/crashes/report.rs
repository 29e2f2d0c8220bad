//! What instances tell each other about crashes.

use fuchsiabay_base::{Fingerprint, Timestamp};
use serde::{Deserialize, Serialize};

use super::{Incarnation, crash::Crash, suspect::WHOLE_REQUEST_DEPTH, suspects::Suspicion};

/// A crash, as told to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The server that crashed.
    #[serde(flatten)]
    pub incarnation: Incarnation,
    /// The time since its connections were lost, in milliseconds.
    pub age_ms: u64,
    /// Whether it was learnt later that the server did not crash.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_refuted: bool,
    /// The time since the server was known to live, in milliseconds, if it was learnt later that it did not crash. None from an
    /// instance of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub alive_age_ms: Option<u64>,
    /// What may have caused the crash.
    pub suspects: Vec<ReportedSuspect>,
}

/// A suspect of a crash, as told to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportedSuspect {
    /// See [`Suspect::fingerprint`](super::Suspect::fingerprint).
    pub fingerprint: Fingerprint,
    /// See [`Suspect::depth`](super::Suspect::depth).
    pub depth: u8,
    /// Whether servers survived it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cleared: bool,
    /// How often servers survived it, as far as the instance knows. An instance of an earlier version states 0.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub survivals: u32,
}

// serde passes a reference.
fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl From<&ReportedSuspect> for Suspicion {
    fn from(suspect: &ReportedSuspect) -> Self {
        let ReportedSuspect { depth, is_cleared, survivals, .. } = *suspect;
        // An instance of an earlier version also clears whole requests.
        if depth == WHOLE_REQUEST_DEPTH {
            return Self { depth, is_cleared: false, survivals: 0 };
        }
        Self { depth, is_cleared, survivals }
    }
}

impl CrashReport {
    pub(super) fn new(
        incarnation: &Incarnation,
        crash: &Crash,
        alive_at: Option<Timestamp>,
        now: Timestamp,
    ) -> Self {
        let suspects = crash.suspects.iter().map(|(fingerprint, suspicion)| ReportedSuspect {
            fingerprint: *fingerprint,
            depth: suspicion.depth,
            is_cleared: suspicion.is_cleared,
            survivals: suspicion.survivals,
        });
        Self {
            incarnation: incarnation.clone(),
            age_ms: now.millis_since(crash.lost_at),
            is_refuted: crash.is_refuted,
            alive_age_ms: alive_at.filter(|_| crash.is_refuted).map(|at| now.millis_since(at)),
            suspects: suspects.collect(),
        }
    }
}
