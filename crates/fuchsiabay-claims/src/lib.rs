//! At-most-once claims over a log: the reducer over log order and the claimer of one agent.
//!
//! This crate must not know sockets or HTTP. Invariants kept here: only the winner of a key dispatches its call,
//! at most once per claim, and `not-run` is answered only after the start has been made impossible.

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
