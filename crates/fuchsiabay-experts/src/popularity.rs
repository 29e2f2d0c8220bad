//! Popularity of experts, decayed over time.

use fuchsiabay_base::Timestamp;

/// Tokens per expert, where a token counts half after each half-life.
///
/// Decay lets the placement follow a drift through the day, and a half-life of minutes hides the noise of single
/// batches.
#[derive(Clone, Debug)]
pub struct Popularity {
    half_life_ms: f64,
    decayed_to: Timestamp,
    tokens: Vec<f64>,
}

impl Popularity {
    /// The half-life that followed a day of drift best. With 5 min the p99 skew was 1.10 instead of 1.08, because the
    /// placement lags the drift.
    pub const HALF_LIFE_MS: u64 = 2 * 60_000;

    /// Returns the popularity of `experts` experts without any tokens yet.
    pub fn new(experts: usize, half_life_ms: u64, now: Timestamp) -> Self {
        Self { half_life_ms: half_life_ms.max(1) as f64, decayed_to: now, tokens: vec![0.0; experts] }
    }

    /// Adds the tokens that each expert served since the last call.
    pub fn record(&mut self, now: Timestamp, tokens: &[u64]) {
        let halvings = now.millis_since(self.decayed_to) as f64 / self.half_life_ms;
        let factor = (-halvings).exp2();
        self.decayed_to = self.decayed_to.max(now);
        for (sum, &new) in self.tokens.iter_mut().zip(tokens) {
            *sum = *sum * factor + new as f64;
        }
    }

    /// Returns the decayed tokens of each expert.
    pub fn tokens(&self) -> &[f64] {
        &self.tokens
    }
}
