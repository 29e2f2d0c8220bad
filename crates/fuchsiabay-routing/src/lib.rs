//! The decisions of an entry instance: server selection, retries, quarantine, workspace limits and the state machine
//! of one request.
//!
//! This crate must not use sockets or clocks. Time and random numbers are arguments, so the same code runs in the
//! daemon, in randomised runs on virtual time and in trace replay.
//!
//! Invariants: a request is retried only when a second run is harmless or the first did not start; a caller never
//! receives a repeated token, a gap, or a token of another request; an incomplete response never counts as complete.

mod affinity;
mod backoff;
mod failure;
mod load;
mod quarantine;
mod request_machine;
mod retry_budget;
mod router;
mod server;
mod subset;
mod transcript;
mod workspace_limiter;

pub use backoff::Backoff;
pub use failure::{Failure, FailureKind};
pub use load::Load;
pub use quarantine::{Quarantine, QuarantineRecord, QuarantineStatus};
pub use request_machine::{Command, Dispatch, Event, RequestKind, RequestMachine};
pub use retry_budget::RetryBudget;
pub use router::{Member, NoServer, PickArgs, Router, Servers};
pub use server::Server;
pub use subset::{Candidate, choose_agents};
pub use transcript::{Transcript, TranscriptError};
pub use workspace_limiter::WorkspaceLimiter;
