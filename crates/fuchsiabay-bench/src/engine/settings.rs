//! Settings of the fake engine.

use std::str::FromStr;

/// Settings of [`FakeEngine`](super::FakeEngine).
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The maximum number of concurrently running streams.
    pub slots: usize,
    /// The duration of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// The additional step time for each running stream, in microseconds.
    pub step_per_stream_us: u64,
    /// The additional time of the step that starts a stream for each uncached block of its prompt, in microseconds.
    pub prefill_block_us: u64,
    /// The capacity of the prefix cache, in prompt blocks.
    pub cache_blocks: usize,
    /// The delay after which cache events are published, in milliseconds.
    pub event_delay_ms: u64,
    /// Every cache event whose sequence number is a multiple of this is lost. With 0, none is lost.
    pub event_gap: u64,
    /// The age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing token are refused.
    pub fencing: FencingMode,
    /// The text that makes the engine crash on a request whose prompt contains it.
    pub crash_marker: String,
    /// The effect of a crash.
    pub crash: CrashMode,
    /// The number of ranks of the group that the engine hosts. With 0, there is no group.
    pub ranks: usize,
    /// The number of experts of the group.
    pub experts: usize,
    /// The time to load the weights of one expert, in microseconds.
    pub weights_us: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            step_us: 2_000,
            step_per_stream_us: 50,
            prefill_block_us: 200,
            cache_blocks: 4_096,
            event_delay_ms: 200,
            event_gap: 50,
            load_lag_ms: 200,
            fencing: FencingMode::Check,
            crash_marker: "[crash]".to_owned(),
            crash: CrashMode::Exit,
            ranks: 0,
            experts: 256,
            weights_us: 1_000,
        }
    }
}

/// How the engine treats the fencing tokens of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingMode {
    /// Refuses an order whose token is lower than the highest one seen.
    Check,
    /// Accepts every order.
    Ignore,
}

impl FromStr for FencingMode {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "check" => Ok(Self::Check),
            "ignore" => Ok(Self::Ignore),
            _ => Err("expected check or ignore"),
        }
    }
}

/// The effect of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Exits the process.
    Exit,
    /// Aborts every stream and clears the prefix cache, as a restart of the engine would.
    Abort,
}

impl FromStr for CrashMode {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "exit" => Ok(Self::Exit),
            "abort" => Ok(Self::Abort),
            _ => Err("expected exit or abort"),
        }
    }
}
