//! Basic types shared by all crates: ids, timestamps, verdicts, fingerprints and invariants.
//!
//! This crate must not depend on sockets, clocks or settings. Time is passed as a [`Timestamp`] argument, so that the
//! same decision logic runs in the daemons, in randomised runs on virtual time and in trace replay.

mod ablation;
mod fingerprint;
mod idempotency_key;
mod ids;
mod invariant;
mod timestamp;
mod verdict;

#[cfg(feature = "ablation")]
pub use ablation::disable_mechanisms;
pub use ablation::is_mechanism_enabled;
pub use fingerprint::Fingerprint;
pub use idempotency_key::{IdempotencyKey, InvalidKey};
pub use ids::{AttemptId, Generation, InstanceId, ServiceName, WorkspaceId, WriterId, ZoneName};
#[doc(hidden)]
pub use invariant::record_violation;
pub use invariant::violation_count;
pub use timestamp::Timestamp;
pub use verdict::Verdict;
