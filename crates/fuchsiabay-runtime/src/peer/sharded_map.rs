//! A sharded map with one lock per shard.

use std::collections::HashMap;

use parking_lot::Mutex;

/// The number of shards. Several threads handle the streams of one connection; eight shards keep lock contention low.
const SHARD_COUNT: usize = 8;

/// A map whose keys are small consecutive IDs, which spread evenly over the shards.
#[derive(Debug)]
pub(crate) struct ShardedMap<V> {
    shards: [Mutex<HashMap<u64, V>>; SHARD_COUNT],
}

impl<V> ShardedMap<V> {
    pub(crate) fn new() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::new(HashMap::new())) }
    }

    pub(crate) fn insert(&self, id: u64, value: V) {
        self.shard(id).lock().insert(id, value);
    }

    pub(crate) fn remove(&self, id: u64) -> Option<V> {
        self.shard(id).lock().remove(&id)
    }

    pub(crate) fn clear(&self) {
        for shard in &self.shards {
            shard.lock().clear();
        }
    }

    /// Calls `f` with the value of `id` while holding the lock of its shard.
    pub(crate) fn with<R>(&self, id: u64, f: impl FnOnce(Option<&V>) -> R) -> R {
        f(self.shard(id).lock().get(&id))
    }

    fn shard(&self, id: u64) -> &Mutex<HashMap<u64, V>> {
        &self.shards[id as usize % SHARD_COUNT]
    }
}
