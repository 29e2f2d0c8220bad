//! Admission and scheduling of the work of one backend server, as a pure state machine.
//!
//! Events and the present time go in; [`Command`]s come out. This crate must not know sockets or clocks.
//!
//! Invariants kept here: a job that is reported as dropped was never started; no more jobs run than there are
//! slots; a suspected job runs alone; long work passes its share only while no short work waits.

mod command;
mod job;
mod limits;
mod refusal;
mod scheduler;
mod service_rate;
mod snapshot;
mod workspace_queue;

pub use command::{Command, DropReason};
pub use job::{Job, JobClass, JobId};
pub use limits::Limits;
pub use refusal::{Refusal, RefusalCause};
pub use scheduler::{CancelOutcome, Crash, Scheduler, Suspect};
pub use snapshot::{Load, Snapshot, WorkspaceSnapshot};
