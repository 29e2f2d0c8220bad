//! The scheduler of one backend server.
//!
//! `commands` holds what changes the state from outside, `dispatch` the choice of the next job, and `queries`
//! what only reads.

mod commands;
mod dispatch;
mod queries;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use fuchsiabay_base::{Fingerprint, Timestamp, WorkspaceId};

use crate::{
    Command, JobClass, JobId, Limits,
    service_rate::ServiceRate,
    workspace_queue::{Place, Queued, WorkspaceQueue},
};

/// The scheduler of one backend server.
#[derive(Clone, Debug)]
pub struct Scheduler {
    limits: Limits,
    /// Ordered, so that ties between workspaces are broken alike in every run.
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    waiting: HashMap<JobId, Waiting>,
    short_arrivals: BTreeMap<u64, JobId>,
    long_arrivals: BTreeMap<u64, JobId>,
    deadlines: BTreeSet<(Timestamp, JobId)>,
    /// Suspected jobs by arrival. They are kept apart because only an empty backend server may run them.
    solos: VecDeque<Queued>,
    /// Work that arrived before this number goes before the next suspected job, because a crash leaves several of
    /// them and other work must not wait for all in a row.
    owed_before: u64,
    running: BTreeMap<JobId, Running>,
    /// The virtual time of the latest start. A workspace that was idle continues here, so that idleness saves up
    /// no claim on the slots.
    virtual_clock: u64,
    rate: ServiceRate,
    draining_since: Option<Timestamp>,
    down: bool,
    next_arrival: u64,
    commands: VecDeque<Command>,
}

/// Where a waiting job is kept.
#[derive(Clone, Debug)]
struct Waiting {
    workspace: WorkspaceId,
    deadline: Timestamp,
    /// None stands for the suspected jobs.
    place: Option<(JobClass, Place)>,
}

/// A job that was started and did not end.
#[derive(Clone, Debug)]
struct Running {
    workspace: WorkspaceId,
    fingerprint: Fingerprint,
    /// The present estimate of the whole cost in tokens.
    estimate: u32,
    /// The tokens that the workspace was charged.
    charged: u32,
    tokens: u32,
    started: Timestamp,
    solo: bool,
    pausable: bool,
    paused_at: Option<Timestamp>,
}

/// What a crash of the backend server ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// The jobs that ran.
    pub suspects: Vec<Suspect>,
    /// The paused jobs, which another backend server is to resume.
    pub handed_back: Vec<JobId>,
}

/// A job that ran when the backend server crashed. It may have run and may be the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The job.
    pub id: JobId,
    /// The content hash of its request.
    pub fingerprint: Fingerprint,
}

/// What a cancellation achieved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job was removed from the queue. It did not run and never will.
    Removed,
    /// The job runs; a [`Command::CancelRunning`] was given.
    Running,
    /// The job is unknown or ended before.
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
            solos: VecDeque::new(),
            owed_before: 0,
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
