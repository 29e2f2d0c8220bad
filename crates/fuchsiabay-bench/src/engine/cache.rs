//! The prefix cache of the fake engine.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EngineSettings;

/// The length of a prompt block in bytes.
const BLOCK_LEN: usize = 64;
/// The maximum number of cache events that are kept for readers.
const MAX_EVENTS: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CacheChange {
    Stored,
    Evicted,
}

#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    change: CacheChange,
    block: String,
    #[serde(skip)]
    published_at: Instant,
}

/// An LRU cache of prompt blocks. The key of a block is the hash of the prompt up to the end of the block.
pub(crate) struct PrefixCache {
    capacity: usize,
    event_delay: Duration,
    event_gap: u64,
    /// For each block, the value of `use_count` at its last use.
    last_use: HashMap<u64, u64>,
    use_count: u64,
    next_seq: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            capacity: settings.cache_blocks,
            event_delay: Duration::from_millis(settings.event_delay_ms),
            event_gap: settings.event_gap,
            last_use: HashMap::new(),
            use_count: 0,
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Stores the blocks of `prompt` and returns how many of them were missing.
    pub(crate) fn store(&mut self, prompt: &str, now: Instant) -> u64 {
        let mut missing = 0;
        let mut hash = 0;
        for block in prompt.as_bytes().chunks_exact(BLOCK_LEN) {
            hash = xxh3_64_with_seed(block, hash);
            self.use_count += 1;
            if self.last_use.insert(hash, self.use_count).is_none() {
                missing += 1;
                self.publish(CacheChange::Stored, hash, now);
            }
        }
        self.evict(now);
        missing
    }

    /// Removes every block without publishing an event, as a restart of the engine does.
    pub(crate) fn clear(&mut self) {
        self.last_use.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns the published events with a sequence number of at least `from`, and the number of the event to
    /// read next.
    pub(crate) fn events(&self, from: u64, now: Instant) -> (Vec<&CacheEvent>, u64) {
        let published = self.events.iter().take_while(|event| event.published_at <= now);
        let events: Vec<&CacheEvent> = published.filter(|event| event.seq >= from).collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        (events, next)
    }

    fn evict(&mut self, now: Instant) {
        if self.last_use.len() <= self.capacity {
            return;
        }
        let mut by_last_use: Vec<(u64, u64)> =
            self.last_use.iter().map(|(&hash, &last_use)| (last_use, hash)).collect();
        by_last_use.sort_unstable();
        by_last_use.truncate(self.last_use.len() - self.capacity);
        for (_, hash) in by_last_use {
            self.last_use.remove(&hash);
            self.publish(CacheChange::Evicted, hash, now);
        }
    }

    fn publish(&mut self, change: CacheChange, block: u64, now: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.event_gap > 0 && seq.is_multiple_of(self.event_gap) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let block = format!("{block:016x}");
        self.events.push_back(CacheEvent { seq, change, block, published_at: now + self.event_delay });
    }
}
