//! The measured token rate of a slot.

use fuchsiabay_base::Timestamp;

/// The weight of the latest sample. A tenth smooths out single unusual jobs and still follows a change of load within
/// about twenty completions.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average of tokens per millisecond and slot, over completed jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceRate {
    tokens_per_ms: Option<f64>,
}

impl ServiceRate {
    /// Adds the sample of a completed job. A job without tokens is ignored.
    pub(crate) fn record(&mut self, tokens: u32, started: Timestamp, now: Timestamp) {
        if tokens == 0 {
            return;
        }
        let sample = f64::from(tokens) / now.millis_since(started).max(1) as f64;
        self.tokens_per_ms = Some(match self.tokens_per_ms {
            Some(mean) => mean + SAMPLE_WEIGHT * (sample - mean),
            None => sample,
        });
    }

    /// Returns the average, or `None` before the first completion.
    pub(crate) fn tokens_per_ms(&self) -> Option<f64> {
        self.tokens_per_ms
    }

    /// Returns how many milliseconds `slots` slots need for `tokens`. The result is zero before the first completion,
    /// because a new backend server must not refuse work for lack of a measurement.
    pub(crate) fn millis_for(&self, tokens: u64, slots: u32) -> u64 {
        let Some(rate) = self.tokens_per_ms else {
            return 0;
        };
        (tokens as f64 / (rate * f64::from(slots.max(1)))) as u64
    }
}
