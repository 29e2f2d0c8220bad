//! At-most-once claims on a shared log: the reducer that applies the records in log order, and an agent's claimer.
//!
//! This crate must not depend on sockets or HTTP. It keeps these invariants:
//!
//! - Only the claim that holds a key dispatches its call, and at most once.
//! - A call gets the verdict `not-run` only once it can no longer start.

mod call;
mod claimer;
mod ledger;
mod limits;
mod record;
mod reply;

pub use call::CallId;
pub use claimer::{APPEND_INTERVAL_MS, BatchId, Claimer, ClaimerStatus, Command, HOLDER_WAIT_MS, Submission};
pub use ledger::{ClaimLedger, KeyHolder, RecordEffect};
pub use limits::ClaimLimits;
pub use record::{Claim, ClaimId, ClaimKey, ClaimRecord, LoggedRecord, Response};
pub use reply::{CallReply, ClaimError, DispatchResult};
