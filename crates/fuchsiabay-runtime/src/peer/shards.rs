//! A map in shards, each under its own lock.

use std::collections::HashMap;

use parking_lot::Mutex;

/// The number of shards. Streams of one connection are handled by several threads, and eight shards keep the chance
/// low that two of them want the same lock.
const SHARDS: usize = 8;

/// A map from small consecutive ids.
#[derive(Debug)]
pub(crate) struct Shards<V> {
    shards: [Mutex<HashMap<u64, V>>; SHARDS],
}

impl<V> Shards<V> {
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

    /// Calls `f` with the value of `id` under the lock of its shard.
    pub(crate) fn with<R>(&self, id: u64, f: impl FnOnce(Option<&V>) -> R) -> R {
        f(self.shard(id).lock().get(&id))
    }

    fn shard(&self, id: u64) -> &Mutex<HashMap<u64, V>> {
        &self.shards[id as usize % SHARDS]
    }
}
