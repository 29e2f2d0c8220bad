//! A call that needs a claim.

use fuchsiabay_base::{Fingerprint, Timestamp};

use crate::{ClaimId, ClaimKey};

/// Identifies a call within an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    /// The claim is queued for the next append.
    Queued(ClaimId),
    /// The claim was sent to the log and has not been read back.
    Sent(ClaimId),
    /// Another claim holds the key, and the call waits for its outcome or release until the deadline `until`.
    Waiting { until: Timestamp },
    /// The claim won, and the call was dispatched to the service.
    Dispatched(ClaimId),
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Timestamp,
    pub(crate) state: CallState,
}

impl Call {
    /// Returns when the call fails unless it is dispatched or replied to before. `None` once it was dispatched.
    pub(crate) fn expires_at(&self) -> Option<Timestamp> {
        match self.state {
            CallState::Queued(_) | CallState::Sent(_) => Some(self.deadline),
            CallState::Waiting { until } => Some(until),
            CallState::Dispatched(_) => None,
        }
    }
}
