//! The prefix cache of the engine stand-in.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EngineSettings;

/// The bytes of a prompt that form one block.
const BLOCK_LEN: usize = 64;
/// Cache events that are kept for readers.
const EVENTS_KEPT: usize = 10_000;

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

/// Blocks of prompts by the hash of everything up to their end, evicted least recently used first.
pub(crate) struct PrefixCache {
    capacity: usize,
    delay: Duration,
    gap: u64,
    used_at: HashMap<u64, u64>,
    uses: u64,
    next_seq: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            capacity: settings.cache_blocks,
            delay: Duration::from_millis(settings.event_delay_ms),
            gap: settings.event_gap,
            used_at: HashMap::new(),
            uses: 0,
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
            self.uses += 1;
            if self.used_at.insert(hash, self.uses).is_none() {
                missing += 1;
                self.publish(CacheChange::Stored, hash, now);
            }
        }
        self.evict(now);
        missing
    }

    /// Forgets every block, as a restarted engine does.
    pub(crate) fn clear(&mut self) {
        self.used_at.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Returns the events from number `from` on that are published by now, and the next number.
    pub(crate) fn events(&self, from: u64, now: Instant) -> (Vec<&CacheEvent>, u64) {
        let published = self.events.iter().take_while(|event| event.published_at <= now);
        let events: Vec<&CacheEvent> = published.filter(|event| event.seq >= from).collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        (events, next)
    }

    fn evict(&mut self, now: Instant) {
        if self.used_at.len() <= self.capacity {
            return;
        }
        let mut by_use: Vec<(u64, u64)> = self.used_at.iter().map(|(&hash, &used)| (used, hash)).collect();
        by_use.sort_unstable();
        by_use.truncate(self.used_at.len() - self.capacity);
        for (_, hash) in by_use {
            self.used_at.remove(&hash);
            self.publish(CacheChange::Evicted, hash, now);
        }
    }

    fn publish(&mut self, change: CacheChange, block: u64, now: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.gap > 0 && seq.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == EVENTS_KEPT {
            self.events.pop_front();
        }
        let block = format!("{block:016x}");
        self.events.push_back(CacheEvent { seq, change, block, published_at: now + self.delay });
    }
}
