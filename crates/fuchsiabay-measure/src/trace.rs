//! Reproducible traces of request arrivals.

use fastrand::Rng;
use fuchsiabay_base::WorkspaceId;

/// The decode time of a token, in milliseconds.
pub(crate) const DECODE_MS_PER_TOKEN: u64 = 28;

/// One request of a trace.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) workspace: WorkspaceId,
    /// The number of tokens in the response.
    pub(crate) tokens: u32,
    /// The number of tokens that the entry instance expects from the prompt and the output limit.
    pub(crate) estimated_tokens: u32,
    pub(crate) deadline_ms: u64,
    /// Whether the request belongs to long work.
    pub(crate) long: bool,
}

/// A source of similar requests.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) workspaces: Vec<WorkspaceId>,
    pub(crate) requests_per_second: f64,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) tokens: std::ops::Range<u32>,
    pub(crate) deadline_ms: u64,
    pub(crate) long: bool,
}

impl Source {
    /// Appends the arrivals of a Poisson process.
    pub(crate) fn generate(&self, rng: &mut Rng, arrivals: &mut Vec<Arrival>) {
        let mut at = self.from_ms as f64;
        loop {
            at -= (1.0 - rng.f64()).ln() / self.requests_per_second * 1000.0;
            if at >= self.to_ms as f64 {
                return;
            }
            let tokens = rng.u32(self.tokens.clone());
            arrivals.push(Arrival {
                at_ms: at as u64,
                workspace: self.workspaces[rng.usize(..self.workspaces.len())].clone(),
                tokens,
                // Estimates are up to 50 % too low or too high.
                estimated_tokens: (f64::from(tokens) * (0.5 + rng.f64())) as u32,
                deadline_ms: at as u64 + self.deadline_ms,
                long: self.long,
            });
        }
    }
}

/// Generates the arrivals of all sources, sorted by time.
pub(crate) fn generate(sources: &[Source], seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (i, source) in sources.iter().enumerate() {
        // Each source has a random generator of its own, so that removing a source does not change the arrivals of the
        // others.
        source.generate(&mut Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(i as u64)), &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Returns `count` workspaces named `PREFIX-0`, `PREFIX-1` and so on.
pub(crate) fn workspaces(prefix: &str, count: usize) -> Vec<WorkspaceId> {
    (0..count).map(|i| WorkspaceId::new(format!("{prefix}-{i}"))).collect()
}
