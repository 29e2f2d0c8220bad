//! Seeded workloads.

use fastrand::Rng;
use fuchsiabay_base::{Timestamp, WorkspaceId};

use super::job::Job;

/// A stream of requests of one workspace.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) workspace: &'static str,
    /// The mean of arriving tokens per second.
    pub(crate) tokens_per_second: f64,
    /// The limit of a short answer.
    pub(crate) short_tokens: u32,
    /// The limit of a long answer.
    pub(crate) long_tokens: u32,
    /// The share of long requests among all.
    pub(crate) long_share: f64,
    pub(crate) deadline_ms: u64,
    pub(crate) start_ms: u64,
    pub(crate) end_ms: u64,
}

/// The shortest answer as a share of its limit. Lengths are uniform between it and the limit.
const MIN_LENGTH: f64 = 0.5;

/// Draws the requests of all sources in the order of arrival, spread over `entries` entry instances.
pub(crate) fn draw(seed: u64, sources: &[Source], entries: usize) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (i, source) in sources.iter().enumerate() {
        // Each source draws from its own numbers, so that adding one leaves the others as they are.
        let mut rng = Rng::with_seed(seed ^ (i as u64 + 1) << 32);
        draw_source(source, entries, &mut rng, &mut jobs);
    }
    jobs.sort_by_key(|job| job.arrival);
    jobs
}

fn draw_source(source: &Source, entries: usize, rng: &mut Rng, jobs: &mut Vec<Job>) {
    let mean_limit = f64::from(source.long_tokens) * source.long_share
        + f64::from(source.short_tokens) * (1.0 - source.long_share);
    let per_ms = source.tokens_per_second / (mean_limit * (1.0 + MIN_LENGTH) / 2.0) / 1000.0;
    let mut at_ms = source.start_ms as f64;
    loop {
        at_ms -= (1.0 - rng.f64()).ln() / per_ms;
        if at_ms >= source.end_ms as f64 {
            return;
        }
        let long = rng.f64() < source.long_share;
        let limit = if long { source.long_tokens } else { source.short_tokens };
        let length = MIN_LENGTH + (1.0 - MIN_LENGTH) * rng.f64();
        let arrival = Timestamp::from_millis(at_ms as u64);
        jobs.push(Job {
            arrival,
            workspace: WorkspaceId::from(source.workspace),
            entry: rng.usize(..entries),
            estimated_tokens: limit,
            tokens: ((f64::from(limit) * length) as u32).max(1),
            long,
            deadline: arrival.plus_millis(source.deadline_ms),
            started: None,
            finished: None,
            refused: None,
        });
    }
}
