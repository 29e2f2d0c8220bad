//! The scheduler of one backend server.
//!
//! `commands` contains the operations that change the state, `dispatch` the selection of the next job, and `queries`
//! the read-only operations.

mod commands;
mod dispatch;
mod queries;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use fuchsiabay_base::{Fingerprint, Timestamp, WorkspaceId};

use crate::{
    Command, JobClass, JobId, Limits,
    service_rate::ServiceRate,
    workspace_queue::{QueueKey, Queued, WorkspaceQueue},
};

/// The scheduler of one backend server.
#[derive(Clone, Debug)]
pub struct Scheduler {
    limits: Limits,
    /// Ordered, so that ties between workspaces are broken deterministically.
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    waiting: HashMap<JobId, Waiting>,
    short_arrivals: BTreeMap<u64, JobId>,
    long_arrivals: BTreeMap<u64, JobId>,
    deadlines: BTreeSet<(Timestamp, JobId)>,
    /// Waiting suspected jobs in order of arrival, kept apart because they may only start on an empty backend server.
    solo_jobs: VecDeque<Queued>,
    /// Jobs with an arrival number below this one run before the next suspected job. A crash leaves several suspected
    /// jobs, and other work must not wait for all of them in a row.
    solo_after_arrival: u64,
    running: BTreeMap<JobId, Running>,
    /// The virtual time of the most recent start. A workspace that was idle continues from here, so that it
    /// accumulates no credit while it is idle.
    virtual_clock: u64,
    rate: ServiceRate,
    draining_since: Option<Timestamp>,
    down: bool,
    next_arrival: u64,
    commands: VecDeque<Command>,
}

/// Where a waiting job is queued.
#[derive(Clone, Debug)]
struct Waiting {
    workspace: WorkspaceId,
    deadline: Timestamp,
    /// `None` for a suspected job, which is in `solo_jobs`.
    key: Option<(JobClass, QueueKey)>,
}

/// A job that has started and not ended, including a paused one.
#[derive(Clone, Debug)]
struct Running {
    workspace: WorkspaceId,
    fingerprint: Fingerprint,
    /// The current estimate of the total cost in tokens.
    estimate: u32,
    /// The tokens charged to the workspace so far.
    charged: u32,
    /// The tokens produced so far.
    produced: u32,
    started: Timestamp,
    solo: bool,
    pausable: bool,
    paused_at: Option<Timestamp>,
}

/// The jobs that were in flight when the backend server crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// The jobs that were running.
    pub suspects: Vec<Suspect>,
    /// The paused jobs, to be resumed on another backend server.
    pub handed_back: Vec<JobId>,
}

/// A job that was running when the backend server crashed. It may have run, and it may have caused the crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The id of the job.
    pub id: JobId,
    /// The content hash of its request.
    pub fingerprint: Fingerprint,
}

/// The result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job was removed from the queue. It did not run and never will.
    Removed,
    /// The job is running; a [`Command::CancelRunning`] was issued.
    Running,
    /// The job is unknown or has already ended.
    Unknown,
}

impl Scheduler {
    /// Creates an idle scheduler.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            workspaces: BTreeMap::new(),
            waiting: HashMap::new(),
            short_arrivals: BTreeMap::new(),
            long_arrivals: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            solo_jobs: VecDeque::new(),
            solo_after_arrival: 0,
            running: BTreeMap::new(),
            virtual_clock: 0,
            rate: ServiceRate::default(),
            draining_since: None,
            down: false,
            next_arrival: 0,
            commands: VecDeque::new(),
        }
    }
}
