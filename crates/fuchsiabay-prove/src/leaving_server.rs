//! One backend server and its agent, over all their lives.

use std::collections::BTreeMap;

use fuchsiabay_admission::Scheduler;
use fuchsiabay_base::{Generation, Timestamp};
use fuchsiabay_wire::LoadReport;

use crate::leaving_world::LIMITS;

/// An attempt at a server.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) call: usize,
    /// The position of the next token.
    pub(crate) position: u32,
    /// Counts pauses and resumptions, so that an event from before a pause is not taken.
    pub(crate) run: u64,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) life: u64,
    pub(crate) alive: bool,
    pub(crate) scheduler: Scheduler,
    pub(crate) jobs: BTreeMap<u64, Job>,
    /// When the next call of the scheduler is due.
    pub(crate) due: Option<Timestamp>,
    /// When the platform marked this life as leaving.
    pub(crate) leaving_since: Option<Timestamp>,
    /// The agent has learnt that it is leaving.
    pub(crate) draining: bool,
    /// The last life ended after a drain, and not by a crash.
    pub(crate) drained: bool,
    pub(crate) list_ms: u64,
    pub(crate) gone_ms: u64,
    pub(crate) repeats_until: Timestamp,
    pub(crate) repeats_by_ms: u64,
}

impl Server {
    pub(crate) fn new() -> Self {
        Self {
            life: 1,
            alive: true,
            scheduler: Scheduler::new(LIMITS),
            jobs: BTreeMap::new(),
            due: None,
            leaving_since: None,
            draining: false,
            drained: false,
            list_ms: 0,
            gone_ms: 0,
            repeats_until: Timestamp::ZERO,
            repeats_by_ms: 0,
        }
    }

    /// Returns whether the process of `life` runs.
    pub(crate) fn serves(&self, life: u64) -> bool {
        self.alive && self.life == life
    }

    pub(crate) fn report(&self, now: Timestamp) -> LoadReport {
        let load = self.scheduler.load(now);
        LoadReport {
            generation: Generation(self.life),
            queued: load.queued,
            running: load.running,
            slots: load.slots,
            outstanding_tokens: load.outstanding_tokens,
            predicted_wait_ms: load.predicted_wait_ms,
            draining: load.draining || load.down,
        }
    }

    /// Ends this life.
    pub(crate) fn stop(&mut self) {
        self.alive = false;
        self.jobs.clear();
    }

    /// Begins the next life, which inherits nothing.
    pub(crate) fn start(&mut self) {
        let (repeats_until, repeats_by_ms) = (self.repeats_until, self.repeats_by_ms);
        *self = Self { life: self.life + 1, repeats_until, repeats_by_ms, ..Self::new() };
    }
}
