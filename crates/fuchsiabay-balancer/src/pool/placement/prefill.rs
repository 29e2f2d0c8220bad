//! The time for which a new request keeps its rank busy with its prompt.

use crate::EngineProfile;

/// Returns the duration of a pass in which each rank runs `running` requests and one of them processes a new prompt, in
/// milliseconds.
pub(in crate::pool) fn pass_time_ms(engine: &EngineProfile, running: u32) -> u64 {
    let prefill_ms = if engine.prefill_per_s > 0.0 {
        engine.mean_prompt_tokens / engine.prefill_per_s * 1_000.0
    } else {
        0.0
    };
    (f64::from(engine.stride) * engine.step_time_ms(running) + prefill_ms) as u64
}
