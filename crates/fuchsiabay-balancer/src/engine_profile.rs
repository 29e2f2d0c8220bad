//! How long a model engine takes.

use serde::{Deserialize, Serialize};

/// The figures from which the time of an engine's passes is predicted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that fit into the engine's memory.
    pub kv_capacity: u64,
    /// Steps of one pass, and tokens of one event.
    pub stride: u32,
    /// The time of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// The time that each request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// The time that 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a second.
    pub prefill_per_s: f64,
    /// The mean number of tokens of a prompt.
    pub usual_prompt: f64,
    /// The mean number of tokens of an answer.
    pub usual_answer: f64,
    /// Sets of layers that have experts of their own. Zero for engines without experts.
    pub sets: u16,
    /// Experts of a set.
    pub experts: u16,
    /// Experts of a set that a rank holds at most.
    pub placements: u16,
    /// Experts of a set that one new map may add to a rank.
    pub spare: u16,
    /// The time that a rank takes to copy one expert, in milliseconds.
    pub copy_ms: f64,
}

impl EngineProfile {
    /// Predicts the time of a step with `running` requests of usual size, in milliseconds.
    pub fn step_time_ms(&self, running: u32) -> f64 {
        let running = f64::from(running);
        let context_k = running * (self.usual_prompt + self.usual_answer / 2.0) / 1000.0;
        self.step_ms + running * self.per_request_ms + context_k * self.context_ms_per_k
    }

    /// Predicts how long a request of usual size holds its place when every place is taken, in milliseconds.
    pub fn holding_time_ms(&self) -> f64 {
        let prefill =
            if self.prefill_per_s > 0.0 { self.usual_prompt / self.prefill_per_s * 1000.0 } else { 0.0 };
        prefill + self.usual_answer * self.step_time_ms(self.slots)
    }
}
