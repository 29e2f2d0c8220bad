//! At-most-once claims over a log: the reducer over log order and the claimer of one agent.
//!
//! This crate must not know sockets or HTTP. Invariants kept here: only the winner of a key dispatches its call,
//! at most once per claim, and `not-run` is answered only after the start has been made impossible.

mod answer;
mod call;
mod claimer;
mod ledger;
mod limits;
mod record;

pub use answer::{Answer, ClaimError, Finished};
pub use call::CallId;
pub use claimer::{APPEND_INTERVAL_MS, BatchId, Claimer, ClaimerStatus, Command, HOLDER_WAIT_MS, Submission};
pub use ledger::{ClaimLedger, Effect, Held};
pub use limits::ClaimLimits;
pub use record::{Claim, ClaimId, ClaimKey, ClaimRecord, Logged, Response};
