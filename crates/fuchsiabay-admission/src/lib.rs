//! Admission control and scheduling for one backend server, as a pure state machine.
//!
//! The agent passes in events and the current time and executes the [`Command`]s that come out. This crate must
//! not use sockets or clocks.
//!
//! Invariants: a job that is reported as dropped was never started; no more jobs run than there are slots; a
//! suspected job runs alone; long work exceeds its share only while no short work waits.

mod command;
mod job;
mod limits;
mod refusal;
mod scheduler;
mod service_rate;
mod status;
mod workspace_queue;

pub use command::{Command, DropReason};
pub use job::{Job, JobClass, JobId};
pub use limits::Limits;
pub use refusal::{Refusal, RefusalCause};
pub use scheduler::{CancelOutcome, Crash, Scheduler, Suspect};
pub use status::{Load, SchedulerStatus, WorkspaceStatus};
