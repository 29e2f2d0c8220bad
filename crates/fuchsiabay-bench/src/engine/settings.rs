//! Settings of the engine stand-in.

use std::str::FromStr;

/// Settings of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Streams that run at the same time.
    pub slots: usize,
    /// The time of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// What each running stream adds to a step, in microseconds.
    pub step_per_stream_us: u64,
    /// What each uncached block of a prompt adds to the step that starts it, in microseconds.
    pub prefill_block_us: u64,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How late cache events are published, in milliseconds.
    pub event_delay_ms: u64,
    /// Every event whose number is a multiple of this is lost. Zero loses none.
    pub event_gap: u64,
    /// The age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// What happens to an order with an old fencing number.
    pub fencing: FencingMode,
    /// A request whose prompt contains this text crashes the engine.
    pub crash_marker: String,
    /// What a crash does.
    pub crash: CrashMode,
    /// Ranks of the group that the engine hosts. Zero stands for no group.
    pub ranks: usize,
    /// Experts of the group.
    pub experts: usize,
    /// The time in which the weights of one expert are loaded, in microseconds.
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

/// What the engine does with fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingMode {
    /// Refuses an order whose number is below the highest one seen.
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
            _ => Err("allowed: check or ignore"),
        }
    }
}

/// What a crash does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Ends the process.
    Exit,
    /// Breaks off every stream and forgets the cache, as a restarted engine would.
    Abort,
}

impl FromStr for CrashMode {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "exit" => Ok(Self::Exit),
            "abort" => Ok(Self::Abort),
            _ => Err("allowed: exit or abort"),
        }
    }
}
