//! One backend server and its agent, across restarts.

use std::collections::BTreeMap;

use fuchsiabay_admission::Scheduler;
use fuchsiabay_base::{Generation, Timestamp};
use fuchsiabay_wire::LoadReport;

use crate::leaving_world::LIMITS;

/// An attempt that was submitted to a server.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) call: usize,
    /// The position of the next token.
    pub(crate) position: u32,
    /// Counts pauses and resumptions, so that events scheduled before a pause are ignored.
    pub(crate) pause_epoch: u64,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) scheduler: Scheduler,
    pub(crate) jobs: BTreeMap<u64, Job>,
    /// When the scheduler's next tick is scheduled.
    pub(crate) tick_at: Option<Timestamp>,
    /// When the platform marked this incarnation as leaving.
    pub(crate) leaving_since: Option<Timestamp>,
    /// Whether the agent has learned that it is leaving.
    pub(crate) draining: bool,
    /// Whether this incarnation stopped after a drain rather than being killed.
    pub(crate) drained: bool,
    /// The lag of the instance list, in milliseconds.
    pub(crate) list_lag_ms: u64,
    /// How long the server is down after it stops, in milliseconds.
    pub(crate) down_ms: u64,
    /// Until when load reports are repeated.
    pub(crate) repeats_until: Timestamp,
    /// The delay of the repeated load reports, in milliseconds.
    pub(crate) repeat_delay_ms: u64,
}

impl Server {
    pub(crate) fn new() -> Self {
        Self {
            incarnation: 1,
            alive: true,
            scheduler: Scheduler::new(LIMITS),
            jobs: BTreeMap::new(),
            tick_at: None,
            leaving_since: None,
            draining: false,
            drained: false,
            list_lag_ms: 0,
            down_ms: 0,
            repeats_until: Timestamp::ZERO,
            repeat_delay_ms: 0,
        }
    }

    /// Returns whether the process of `incarnation` is running.
    pub(crate) fn is_running(&self, incarnation: u64) -> bool {
        self.alive && self.incarnation == incarnation
    }

    pub(crate) fn report(&self, now: Timestamp) -> LoadReport {
        let load = self.scheduler.load(now);
        LoadReport {
            generation: Generation(self.incarnation),
            queued: load.queued,
            running: load.running,
            slots: load.slots,
            outstanding_tokens: load.outstanding_tokens,
            predicted_wait_ms: load.predicted_wait_ms,
            draining: load.draining || load.down,
        }
    }

    /// Stops this incarnation.
    pub(crate) fn stop(&mut self) {
        self.alive = false;
        self.jobs.clear();
    }

    /// Starts the next incarnation, which inherits no state.
    pub(crate) fn start(&mut self) {
        let (repeats_until, repeat_delay_ms) = (self.repeats_until, self.repeat_delay_ms);
        *self = Self { incarnation: self.incarnation + 1, repeats_until, repeat_delay_ms, ..Self::new() };
    }
}
