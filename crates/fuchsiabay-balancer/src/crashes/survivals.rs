//! What servers ran without crashing.

use std::collections::HashMap;

use fuchsiabay_base::{Fingerprint, Timestamp};

/// The time after which the older half of the survivals is forgotten, in milliseconds. What was harmless for longer may have
/// become harmful, for example with other weights.
const GENERATION_MS: u64 = 30_000;

/// The maximum number of fingerprints in one half. When there are more, the older half is forgotten earlier.
const MAX_FINGERPRINTS: usize = 4_096;

/// Counts, for what requests have in common, how often a server survived it recently.
#[derive(Clone, Debug, Default)]
pub(super) struct Survivals {
    current: HashMap<Fingerprint, u32>,
    previous: HashMap<Fingerprint, u32>,
    rotate_at: Timestamp,
}

impl Survivals {
    pub(super) fn record(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        if now >= self.rotate_at || self.current.len() >= MAX_FINGERPRINTS {
            self.rotate(now);
        }
        *self.current.entry(fingerprint).or_default() += 1;
    }

    /// Returns how often servers survived `fingerprint` recently.
    pub(super) fn count(&self, fingerprint: &Fingerprint, now: Timestamp) -> u32 {
        let count = |counts: &HashMap<Fingerprint, u32>| counts.get(fingerprint).copied().unwrap_or(0);
        // Without records since then, both halves are too old.
        if now >= self.rotate_at.plus_millis(GENERATION_MS) {
            return 0;
        }
        let previous = if now >= self.rotate_at { 0 } else { count(&self.previous) };
        previous.saturating_add(count(&self.current))
    }

    fn rotate(&mut self, now: Timestamp) {
        self.previous = std::mem::take(&mut self.current);
        if now >= self.rotate_at.plus_millis(GENERATION_MS) {
            self.previous.clear();
        }
        self.rotate_at = now.plus_millis(GENERATION_MS);
    }
}
