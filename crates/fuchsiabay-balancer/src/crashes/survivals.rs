//! What servers ran without crashing.

use std::collections::HashMap;

use fuchsiabay_base::{Fingerprint, Timestamp};

use super::Occupancy;

/// The time after which the older half of the survivals is forgotten, in milliseconds. What was harmless for longer may have
/// become harmful, for example with other weights.
const GENERATION_MS: u64 = 30_000;

/// The maximum number of fingerprints in one half. When there are more, the older half is forgotten earlier.
const MAX_FINGERPRINTS: usize = 4_096;

/// The minimum time over which an occupancy is determined, in milliseconds, so that one run after the start of an instance does
/// not look like a popular request.
const MIN_PERIOD_MS: u64 = 3_000;

/// A run that a server survived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SurvivedRun {
    /// How long it took, in milliseconds.
    pub ms: u64,
    /// The number of servers among which its server was chosen.
    pub servers: usize,
}

/// The runs of one fingerprint that servers survived.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Runs {
    count: u32,
    /// For how long each server ran it on average, in microseconds.
    us_per_server: u64,
}

/// Runs that began in one period.
#[derive(Clone, Debug, Default)]
struct Generation {
    since: Timestamp,
    runs: HashMap<Fingerprint, Runs>,
}

/// Counts, for what requests have in common, how often and for how long servers ran it recently and survived.
#[derive(Clone, Debug, Default)]
pub(super) struct Survivals {
    current: Generation,
    previous: Generation,
    rotate_at: Timestamp,
}

impl Survivals {
    /// Records that a server survived a run.
    pub(super) fn record(&mut self, fingerprint: Fingerprint, run: SurvivedRun, now: Timestamp) {
        self.record_time(fingerprint, run, now).count += 1;
    }

    /// Records for how long a server ran something, or may have, without crashing.
    pub(super) fn record_time(
        &mut self,
        fingerprint: Fingerprint,
        run: SurvivedRun,
        now: Timestamp,
    ) -> &mut Runs {
        if now >= self.rotate_at || self.current.runs.len() >= MAX_FINGERPRINTS {
            self.rotate(now);
        }
        let runs = self.current.runs.entry(fingerprint).or_default();
        runs.us_per_server += run.ms.max(1) * 1_000 / run.servers.max(1) as u64;
        runs
    }

    /// Returns how often servers survived `fingerprint` recently.
    pub(super) fn count(&self, fingerprint: &Fingerprint, now: Timestamp) -> u32 {
        self.recent(now).map(|generation| generation.runs.get(fingerprint).map_or(0, |runs| runs.count)).sum()
    }

    /// Returns which part of the servers ran `fingerprint` on average recently and survived.
    pub(super) fn occupancy(&self, fingerprint: &Fingerprint, now: Timestamp) -> Occupancy {
        let us = self
            .recent(now)
            .map(|generation| generation.runs.get(fingerprint).map_or(0, |runs| runs.us_per_server));
        let since = self.recent(now).map(|generation| generation.since).min().unwrap_or(now);
        Occupancy::new(us.sum(), now.millis_since(since).max(MIN_PERIOD_MS))
    }

    /// Returns the generations that are not too old.
    fn recent(&self, now: Timestamp) -> impl Iterator<Item = &Generation> {
        // Without records since then, both are too old.
        let current = (now < self.rotate_at.plus_millis(GENERATION_MS)).then_some(&self.current);
        let previous = (now < self.rotate_at).then_some(&self.previous);
        current.into_iter().chain(previous).filter(|generation| !generation.runs.is_empty())
    }

    fn rotate(&mut self, now: Timestamp) {
        let next = Generation { since: now, ..Generation::default() };
        self.previous = std::mem::replace(&mut self.current, next);
        if now >= self.rotate_at.plus_millis(GENERATION_MS) {
            self.previous = Generation::default();
        }
        self.rotate_at = now.plus_millis(GENERATION_MS);
    }
}
