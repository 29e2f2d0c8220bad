//! The entry's decisions: choice of a backend server, retries, quarantine, limits and the course of one request.
//!
//! This crate must not know sockets or clocks. Time and random numbers are arguments, so the same code runs in
//! the daemon, in randomised runs on virtual time and in trace replay.
//!
//! Invariants kept here: a request is retried only when a second run is harmless or the first did not start; a
//! caller never sees a repeated, skipped or foreign token; an incomplete answer never counts as complete.

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
pub use subset::{Candidate, choose_links};
pub use transcript::{Transcript, TranscriptError};
pub use workspace_limiter::WorkspaceLimiter;
