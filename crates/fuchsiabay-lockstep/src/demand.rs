//! Demand for experts, with exponential decay.

use fuchsiabay_base::Timestamp;

use crate::DemandDelta;

/// The half-life of token counts, in milliseconds. Demand shifts within seconds; with a shorter half-life, too few requests
/// remain to distinguish demand from noise.
const HALF_LIFE_MS: f64 = 900.0;

/// Tokens per set and expert as counted by the ranks, decayed over time.
#[derive(Clone, Debug)]
pub struct ExpertDemand {
    experts: usize,
    tokens: Vec<Vec<f64>>,
    decayed_to: Timestamp,
}

impl ExpertDemand {
    /// Creates the demand for `sets` sets of `experts` experts each, without any tokens.
    pub fn new(sets: usize, experts: usize, now: Timestamp) -> Self {
        Self { experts, tokens: vec![vec![0.0; experts]; sets], decayed_to: now }
    }

    /// Records the tokens that one rank counted since its previous query.
    pub fn record(&mut self, delta: &DemandDelta, now: Timestamp) {
        if delta.tokens().len() != self.experts * self.tokens.len() {
            return;
        }
        self.decay(now);
        for (total, tokens) in self.tokens.iter_mut().flatten().zip(delta.tokens()) {
            *total += tokens;
        }
    }

    /// Returns the decayed tokens per set and expert.
    pub fn tokens(&self) -> &[Vec<f64>] {
        &self.tokens
    }

    /// Returns the decayed tokens of all experts of the first set, which measure how much data the demand is based on.
    pub fn total_tokens(&self) -> f64 {
        self.tokens.first().map_or(0.0, |tokens| tokens.iter().sum())
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = (-(now.millis_since(self.decayed_to) as f64) / HALF_LIFE_MS).exp2();
        self.decayed_to = self.decayed_to.max(now);
        self.tokens.iter_mut().flatten().for_each(|tokens| *tokens *= factor);
    }
}
