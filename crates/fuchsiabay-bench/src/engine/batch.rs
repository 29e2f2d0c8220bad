//! Continuous batching.

use std::{
    io::Write,
    time::{Duration, Instant},
};

use super::{
    EngineSettings,
    cache::PrefixCache,
    group::Group,
    load_history::{Load, LoadHistory},
    orders::Orders,
    stream::StreamSender,
};
use crate::responses::{TOKEN_LEN, TokenSequence};

/// One stream of tokens.
pub(crate) struct Generation {
    pub(crate) id: String,
    pub(crate) prompt: String,
    pub(crate) answer: TokenSequence,
    pub(crate) position: u32,
    pub(crate) max_tokens: u32,
    pub(crate) priority: i32,
    pub(crate) paused: bool,
    pub(crate) sender: StreamSender,
}

impl Generation {
    fn emit(&mut self) {
        let mut token = Vec::with_capacity(TOKEN_LEN);
        self.answer.push_token(self.position, &mut token);
        let position = self.position;
        self.position += 1;
        self.sender.write(|buf| {
            // Writing to a Vec cannot fail, and a token needs no escape in JSON.
            let _ = write!(buf, "data: {{\"pos\":{position},\"text\":\"");
            buf.extend_from_slice(&token);
            buf.extend_from_slice(b"\"}\n\n");
        });
    }

    fn is_whole(&self) -> bool {
        self.position >= self.max_tokens
    }

    fn finish(&self) {
        self.sender.write(|buf| {
            let _ = write!(buf, "data: {{\"done\":true,\"total\":{}}}\n\n", self.position);
        });
        self.sender.complete();
    }
}

/// Everything that the engine holds.
pub(crate) struct Batch {
    pub(crate) settings: EngineSettings,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: Orders,
    pub(crate) group: Group,
    pub(crate) loads: LoadHistory,
    running: Vec<Generation>,
    waiting: Vec<Generation>,
    steps: u64,
    tokens: u64,
}

impl Batch {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(&settings),
            orders: Orders::default(),
            group: Group::new(settings.ranks, settings.experts),
            loads: LoadHistory::new(settings.load_lag_ms, settings.slots),
            settings,
            running: Vec::new(),
            waiting: Vec::new(),
            steps: 0,
            tokens: 0,
        }
    }

    /// Queues a stream behind those of the same priority.
    pub(crate) fn submit(&mut self, generation: Generation) {
        let at = self.waiting.partition_point(|other| other.priority >= generation.priority);
        self.waiting.insert(at, generation);
    }

    /// Returns whether a stream named `id` runs or waits.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.all().any(|generation| generation.id == id)
    }

    /// Breaks off the stream named `id` and returns how many tokens it had.
    pub(crate) fn cancel(&mut self, id: &str) -> Option<u32> {
        let lists = [&mut self.waiting, &mut self.running];
        lists.into_iter().find_map(|list| {
            let at = list.iter().position(|generation| generation.id == id)?;
            Some(list.remove(at).position)
        })
    }

    /// Pauses or resumes the stream named `id`. A paused stream keeps its slot.
    pub(crate) fn set_paused(&mut self, id: &str, paused: bool) -> bool {
        let generation = self.waiting.iter_mut().chain(&mut self.running).find(|other| other.id == id);
        generation.map(|generation| generation.paused = paused).is_some()
    }

    /// Returns the prompt and the position of the stream named `id`.
    pub(crate) fn export(&self, id: &str) -> Option<(&str, u32)> {
        self.all().find(|generation| generation.id == id).map(|g| (g.prompt.as_str(), g.position))
    }

    /// Breaks off every stream and forgets the cache.
    pub(crate) fn crash(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cache.clear();
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: self.settings.slots,
            cached_blocks: self.cache.len(),
        }
    }

    pub(crate) fn totals(&self) -> (u64, u64) {
        (self.steps, self.tokens)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty() && self.settings.ranks == 0
    }

    /// Fills free slots and returns how long the step takes.
    pub(crate) fn begin_step(&mut self, now: Instant) -> Duration {
        self.running.retain(|generation| !generation.sender.is_abandoned());
        self.waiting.retain(|generation| !generation.sender.is_abandoned());
        let free = self.settings.slots.saturating_sub(self.running.len()).min(self.waiting.len());
        let mut prefill_blocks = 0;
        for generation in self.waiting.drain(..free) {
            prefill_blocks += self.cache.store(&generation.prompt, now);
            self.running.push(generation);
        }
        let load = self.load();
        self.loads.record(now, load);
        let us = self.settings.step_us
            + self.settings.step_per_stream_us * self.running.len() as u64
            + self.settings.prefill_block_us * prefill_blocks;
        Duration::from_micros(us)
    }

    /// Emits one token of every running stream.
    pub(crate) fn end_step(&mut self) {
        if self.settings.ranks > 0 && !self.group.advance() {
            return;
        }
        self.steps += 1;
        for generation in self.running.iter_mut().filter(|generation| !generation.paused) {
            if !generation.is_whole() {
                generation.emit();
                self.tokens += 1;
            }
            if generation.is_whole() {
                generation.finish();
            }
        }
        self.running.retain(|generation| generation.paused || !generation.is_whole());
        let load = self.load();
        self.loads.record(Instant::now(), load);
    }

    fn all(&self) -> impl Iterator<Item = &Generation> {
        self.waiting.iter().chain(&self.running)
    }
}
