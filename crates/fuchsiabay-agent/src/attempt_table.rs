//! The sharded table of an agent's open attempts.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_admission::JobId;
use parking_lot::Mutex;

use crate::attempt::Attempt;

/// The number of shards. Several threads look up attempts, and eight shards avoid lock contention between them.
const SHARD_COUNT: usize = 8;

/// The attempts that have not ended, by job.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    shards: [Mutex<HashMap<JobId, Arc<Attempt>>>; SHARD_COUNT],
}

impl AttemptTable {
    pub(crate) fn insert(&self, attempt: Arc<Attempt>) {
        self.shard(attempt.job).lock().insert(attempt.job, attempt);
    }

    /// Removes an attempt. Only the caller that receives it may send its `End` frame.
    pub(crate) fn remove(&self, job: JobId) -> Option<Arc<Attempt>> {
        self.shard(job).lock().remove(&job)
    }

    pub(crate) fn find(&self, job: JobId) -> Option<Arc<Attempt>> {
        self.shard(job).lock().get(&job).cloned()
    }

    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Returns the attempts in order of their jobs, for the dump.
    pub(crate) fn all(&self) -> Vec<Arc<Attempt>> {
        let mut all: Vec<_> =
            self.shards.iter().flat_map(|shard| shard.lock().values().cloned().collect::<Vec<_>>()).collect();
        all.sort_by_key(|attempt| attempt.job);
        all
    }

    fn shard(&self, job: JobId) -> &Mutex<HashMap<JobId, Arc<Attempt>>> {
        &self.shards[job.0 as usize % SHARD_COUNT]
    }
}
