//! The queue and the fair-queueing state of one workspace.

use std::{cmp::Reverse, collections::BTreeMap};

use fuchsiabay_base::Timestamp;

use crate::{Job, JobClass};

/// Virtual time per token at weight one, large enough to keep rounding errors far below one token.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;

/// The sort key of a job in the queue of its workspace: the priority, then the arrival number.
pub(crate) type QueueKey = (Reverse<u8>, u64);

/// A waiting job.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    pub(crate) job: Job,
    pub(crate) queued_at: Timestamp,
}

/// The queue and the fair-queueing state of one workspace.
///
/// `virtual_time` advances by the tokens charged to the workspace, divided by its weight. The workspace with the
/// lowest virtual time is served next.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceQueue {
    pub(crate) weight: u32,
    pub(crate) virtual_time: u64,
    pub(crate) running: u32,
    short: BTreeMap<QueueKey, Queued>,
    long: BTreeMap<QueueKey, Queued>,
    /// Running totals, because every admission decision reads them.
    short_tokens: u64,
    long_tokens: u64,
}

impl WorkspaceQueue {
    /// Returns the waiting jobs of a class.
    pub(crate) fn class(&self, class: JobClass) -> &BTreeMap<QueueKey, Queued> {
        match class {
            JobClass::Short => &self.short,
            JobClass::Long => &self.long,
        }
    }

    /// Adds a waiting job.
    pub(crate) fn insert(&mut self, class: JobClass, key: QueueKey, queued: Queued) {
        *self.tokens_mut(class) += u64::from(queued.job.estimated_tokens);
        self.class_mut(class).insert(key, queued);
    }

    /// Removes a waiting job.
    pub(crate) fn remove(&mut self, class: JobClass, key: QueueKey) -> Option<Queued> {
        let queued = self.class_mut(class).remove(&key)?;
        *self.tokens_mut(class) -= u64::from(queued.job.estimated_tokens);
        Some(queued)
    }

    /// Removes every waiting job.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = (QueueKey, Queued)> + use<> {
        self.short_tokens = 0;
        self.long_tokens = 0;
        std::mem::take(&mut self.short).into_iter().chain(std::mem::take(&mut self.long))
    }

    /// Returns the number of waiting jobs.
    pub(crate) fn queued(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns whether the workspace has no waiting, running or paused jobs.
    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.queued() == 0
    }

    /// Returns the estimated tokens of the waiting jobs of a class.
    pub(crate) fn queued_tokens(&self, class: JobClass) -> u64 {
        match class {
            JobClass::Short => self.short_tokens,
            JobClass::Long => self.long_tokens,
        }
    }

    /// Returns the virtual time that `tokens` cost this workspace.
    pub(crate) fn virtual_cost(&self, tokens: u64) -> u64 {
        tokens * VIRTUAL_TIME_PER_TOKEN / u64::from(self.weight.max(1))
    }

    /// Returns the number of tokens that cost this workspace `virtual_time`.
    pub(crate) fn tokens_for(&self, virtual_time: u64) -> u64 {
        virtual_time / VIRTUAL_TIME_PER_TOKEN * u64::from(self.weight.max(1))
    }

    /// Charges `tokens` to the workspace.
    pub(crate) fn charge(&mut self, tokens: u64) {
        self.virtual_time += self.virtual_cost(tokens);
    }

    /// Refunds tokens that were charged but not produced.
    pub(crate) fn refund(&mut self, tokens: u64) {
        self.virtual_time = self.virtual_time.saturating_sub(self.virtual_cost(tokens));
    }

    fn class_mut(&mut self, class: JobClass) -> &mut BTreeMap<QueueKey, Queued> {
        match class {
            JobClass::Short => &mut self.short,
            JobClass::Long => &mut self.long,
        }
    }

    fn tokens_mut(&mut self, class: JobClass) -> &mut u64 {
        match class {
            JobClass::Short => &mut self.short_tokens,
            JobClass::Long => &mut self.long_tokens,
        }
    }
}
