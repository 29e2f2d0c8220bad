//! Demand for experts, decayed over time.

use std::collections::HashMap;

use fuchsiabay_base::Timestamp;

/// The time after which a token counts half, in milliseconds. What is asked for changes within seconds, and a shorter time
/// leaves too few requests to tell demand from noise.
const HALF_LIFE_MS: f64 = 900.0;

/// Tokens per expert and set, as the ranks counted them.
#[derive(Clone, Debug)]
pub struct ExpertDemand {
    experts: usize,
    tokens: Vec<Vec<f64>>,
    decayed_to: Timestamp,
    /// The last counts of each rank, from which the next ones are subtracted.
    last: HashMap<u16, Vec<u64>>,
}

impl ExpertDemand {
    /// Returns the demand of `sets` sets of `experts` experts without any tokens yet.
    pub fn new(sets: usize, experts: usize, now: Timestamp) -> Self {
        Self { experts, tokens: vec![vec![0.0; experts]; sets], decayed_to: now, last: HashMap::new() }
    }

    /// Takes the cumulative counts of one rank, set by set.
    ///
    /// The first counts of a rank, and those after its restart, only serve as a base.
    pub fn record(&mut self, rank: u16, counts: &[u64], now: Timestamp) {
        if counts.len() != self.experts * self.tokens.len() {
            return;
        }
        self.decay(now);
        let Some(last) = self.last.insert(rank, counts.to_vec()) else {
            return;
        };
        if last.iter().zip(counts).any(|(old, new)| new < old) {
            return;
        }
        let deltas = counts.iter().zip(&last).map(|(new, old)| (new - old) as f64);
        for (i, delta) in deltas.enumerate() {
            self.tokens[i / self.experts][i % self.experts] += delta;
        }
    }

    /// Returns the decayed tokens, set by set.
    pub fn tokens(&self) -> &[Vec<f64>] {
        &self.tokens
    }

    /// Returns the decayed tokens of all experts of the first set, which tell how much is known.
    pub fn total_tokens(&self) -> f64 {
        self.tokens.first().map_or(0.0, |tokens| tokens.iter().sum())
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = (-(now.millis_since(self.decayed_to) as f64) / HALF_LIFE_MS).exp2();
        self.decayed_to = self.decayed_to.max(now);
        self.tokens.iter_mut().flatten().for_each(|tokens| *tokens *= factor);
    }
}
