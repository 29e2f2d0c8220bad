//! The performance model of a model engine.

use serde::{Deserialize, Serialize};

/// The parameters for predicting the duration of an engine's forward passes, and the engine's limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineProfile {
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// The number of decoding steps in a pass, and of tokens in a stream event.
    pub stride: u32,
    /// The base duration of a decoding step, in milliseconds.
    pub step_ms: f64,
    /// The time that each running request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// The time that 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms_per_k: f64,
    /// The prefill throughput, in prompt tokens per second.
    pub prefill_per_s: f64,
    /// The mean prompt length, in tokens.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: f64,
    /// The mean response length, in tokens.
    #[serde(rename = "usual_answer")]
    pub mean_response_tokens: f64,
    /// The number of layer sets with their own experts. Zero for engines without experts.
    pub sets: u16,
    /// The number of experts in a set.
    pub experts: u16,
    /// The maximum number of experts of a set that a rank can hold.
    #[serde(rename = "placements")]
    pub max_experts_per_rank: u16,
    /// The maximum number of experts of a set that a new map may add to a rank.
    #[serde(rename = "spare")]
    pub max_added_per_rank: u16,
    /// The time that a rank needs to copy one expert, in milliseconds.
    pub copy_ms: f64,
}

impl EngineProfile {
    /// Returns whether the engines are the ranks of groups that run each step together.
    pub const fn is_lockstep(&self) -> bool {
        self.sets > 0
    }

    /// Predicts the duration of a step with `running` requests of mean size, in milliseconds.
    pub fn step_time_ms(&self, running: u32) -> f64 {
        self.mean_step_time_ms(f64::from(running))
    }

    /// Predicts the duration of a step with a mean of `running` requests of mean size, in milliseconds.
    pub fn mean_step_time_ms(&self, running: f64) -> f64 {
        let context_k = running * (self.mean_prompt_tokens + self.mean_response_tokens / 2.0) / 1000.0;
        self.step_ms + running * self.per_request_ms + context_k * self.context_ms_per_k
    }

    /// Predicts how long a request of mean size occupies its slot when all slots are in use, in milliseconds.
    pub fn holding_time_ms(&self) -> f64 {
        let prefill = if self.prefill_per_s > 0.0 {
            self.mean_prompt_tokens / self.prefill_per_s * 1000.0
        } else {
            0.0
        };
        prefill + self.mean_response_tokens * self.step_time_ms(self.slots)
    }
}
