//! Hints about which backend server has a prompt prefix in its cache.

use std::collections::{HashMap, VecDeque};

use fuchsiabay_base::WriterId;
use parking_lot::Mutex;

/// Number of independently locked shards, to reduce lock contention.
const SHARDS: usize = 16;
/// Maximum number of hints in a shard. With 16 shards this is about 65,000 prefixes, a few megabytes.
const MAX_HINTS_PER_SHARD: usize = 4096;

/// A bounded map from prefix hash to the backend server that last processed the prefix.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    shards: [Mutex<Shard>; SHARDS],
}

#[derive(Debug, Default)]
struct Shard {
    hints: HashMap<u64, WriterId>,
    // In order of insertion. The oldest hint is evicted first, because engines evict old prefixes too.
    order: VecDeque<u64>,
}

impl Affinity {
    /// Applies `f` to the id of the hinted server without cloning it.
    pub(crate) fn with_hint<T>(&self, prefix: u64, f: impl FnOnce(&WriterId) -> Option<T>) -> Option<T> {
        self.shard(prefix).lock().hints.get(&prefix).and_then(f)
    }

    pub(crate) fn insert(&self, prefix: u64, server: &WriterId) {
        let mut shard = self.shard(prefix).lock();
        if let Some(hint) = shard.hints.get_mut(&prefix) {
            if hint != server {
                hint.clone_from(server);
            }
            return;
        }
        if shard.order.len() == MAX_HINTS_PER_SHARD
            && let Some(oldest) = shard.order.pop_front()
        {
            shard.hints.remove(&oldest);
        }
        shard.order.push_back(prefix);
        shard.hints.insert(prefix, server.clone());
    }

    /// Removes every hint whose server does not satisfy `keep`.
    pub(crate) fn retain(&self, keep: impl Fn(&WriterId) -> bool) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            let Shard { hints, order } = &mut *shard;
            hints.retain(|_, server| keep(server));
            order.retain(|prefix| hints.contains_key(prefix));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().hints.len()).sum()
    }

    fn shard(&self, prefix: u64) -> &Mutex<Shard> {
        &self.shards[prefix as usize % SHARDS]
    }
}
