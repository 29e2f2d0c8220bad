//! The state of the fake engine and its continuous batching.

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

/// A stream of tokens that is generated for one request.
pub(crate) struct TokenStream {
    pub(crate) id: String,
    pub(crate) prompt: String,
    pub(crate) tokens: TokenSequence,
    /// The position of the next token.
    pub(crate) position: u32,
    pub(crate) max_tokens: u32,
    pub(crate) priority: i32,
    pub(crate) paused: bool,
    pub(crate) sender: StreamSender,
}

impl TokenStream {
    fn emit_token(&mut self) {
        let mut token = Vec::with_capacity(TOKEN_LEN);
        self.tokens.push_token(self.position, &mut token);
        let position = self.position;
        self.position += 1;
        self.sender.write(|buf| {
            // Writing to a Vec cannot fail, and tokens contain no characters that JSON escapes.
            let _ = write!(buf, "data: {{\"pos\":{position},\"text\":\"");
            buf.extend_from_slice(&token);
            buf.extend_from_slice(b"\"}\n\n");
        });
    }

    fn is_complete(&self) -> bool {
        self.position >= self.max_tokens
    }

    fn finish(&self) {
        self.sender.write(|buf| {
            let _ = write!(buf, "data: {{\"done\":true,\"total\":{}}}\n\n", self.position);
        });
        self.sender.complete();
    }
}

/// The whole state of the engine.
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: Orders,
    pub(crate) group: Group,
    pub(crate) load_history: LoadHistory,
    running: Vec<TokenStream>,
    waiting: Vec<TokenStream>,
    steps: u64,
    tokens: u64,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(&settings),
            orders: Orders::default(),
            group: Group::new(settings.ranks, settings.experts),
            load_history: LoadHistory::new(settings.load_lag_ms, settings.slots),
            settings,
            running: Vec::new(),
            waiting: Vec::new(),
            steps: 0,
            tokens: 0,
        }
    }

    /// Queues a stream behind those with the same or a higher priority.
    pub(crate) fn submit(&mut self, stream: TokenStream) {
        let at = self.waiting.partition_point(|other| other.priority >= stream.priority);
        self.waiting.insert(at, stream);
    }

    /// Returns whether the stream `id` is running or waiting.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.streams().any(|stream| stream.id == id)
    }

    /// Aborts the stream `id` and returns the number of its tokens so far.
    pub(crate) fn cancel(&mut self, id: &str) -> Option<u32> {
        let lists = [&mut self.waiting, &mut self.running];
        lists.into_iter().find_map(|list| {
            let at = list.iter().position(|stream| stream.id == id)?;
            Some(list.remove(at).position)
        })
    }

    /// Pauses or resumes the stream `id` and returns whether it exists. A paused stream keeps its slot.
    pub(crate) fn set_paused(&mut self, id: &str, paused: bool) -> bool {
        let stream = self.waiting.iter_mut().chain(&mut self.running).find(|other| other.id == id);
        stream.map(|stream| stream.paused = paused).is_some()
    }

    /// Returns the prompt and the position of the stream `id`.
    pub(crate) fn export(&self, id: &str) -> Option<(&str, u32)> {
        self.streams().find(|stream| stream.id == id).map(|stream| (stream.prompt.as_str(), stream.position))
    }

    /// Aborts every stream and clears the prefix cache.
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

    /// Returns the number of steps and tokens since the start.
    pub(crate) fn totals(&self) -> (u64, u64) {
        (self.steps, self.tokens)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty() && self.settings.ranks == 0
    }

    /// Starts waiting streams in the free slots and returns the duration of the step.
    pub(crate) fn begin_step(&mut self, now: Instant) -> Duration {
        self.running.retain(|stream| !stream.sender.is_abandoned());
        self.waiting.retain(|stream| !stream.sender.is_abandoned());
        let started = self.settings.slots.saturating_sub(self.running.len()).min(self.waiting.len());
        let mut prefill_blocks = 0;
        for stream in self.waiting.drain(..started) {
            prefill_blocks += self.cache.store(&stream.prompt, now);
            self.running.push(stream);
        }
        let load = self.load();
        self.load_history.record(now, load);
        let duration_us = self.settings.step_us
            + self.settings.step_per_stream_us * self.running.len() as u64
            + self.settings.prefill_block_us * prefill_blocks;
        Duration::from_micros(duration_us)
    }

    /// Emits one token of every running stream that is not paused. Does nothing if the group cannot run the step.
    pub(crate) fn end_step(&mut self) {
        if self.settings.ranks > 0 && !self.group.advance() {
            return;
        }
        self.steps += 1;
        for stream in self.running.iter_mut().filter(|stream| !stream.paused) {
            if !stream.is_complete() {
                stream.emit_token();
                self.tokens += 1;
            }
            if stream.is_complete() {
                stream.finish();
            }
        }
        self.running.retain(|stream| stream.paused || !stream.is_complete());
        let load = self.load();
        self.load_history.record(Instant::now(), load);
    }

    fn streams(&self) -> impl Iterator<Item = &TokenStream> {
        self.waiting.iter().chain(&self.running)
    }
}
