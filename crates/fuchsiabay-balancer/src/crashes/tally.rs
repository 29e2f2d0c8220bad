//! The crashes under one suspect.

use std::{cmp::Reverse, collections::HashMap};

use fuchsiabay_base::{Fingerprint, Timestamp};

use super::{crash::Crash, suspect::WHOLE_REQUEST_DEPTH, suspects::Suspicion};

/// The number of crashes at which a suspect is quarantined. A crash affects every request on the server, so fewer crashes do
/// not identify the cause.
pub(super) const QUARANTINE_THRESHOLD: u32 = 3;

/// The minimum time between the first and the last crash under a part of prompts, in milliseconds. Servers that fail together,
/// such as those of a rack, crash under everything that they run. They rarely run the same request.
const MIN_SPREAD_MS: u64 = 1_000;

/// How many crashes a whole request may explain less than a part of prompts that servers have survived more often. A part is so
/// common that it may run beside the request each time, and on a server that crashes for another reason.
const REQUEST_ADVANTAGE: u32 = 1;

/// The crashes under one suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tally {
    pub(super) crashes: u32,
    /// How often servers survived the suspect, as far as any instance has told.
    survivals: u32,
    depth: u8,
    pub(super) first_at: Timestamp,
    pub(super) last_at: Timestamp,
    pub(super) expires_at: Timestamp,
}

/// Returns the crashes under each suspect that is not cleared.
pub(super) fn tallies(crashes: &[&Crash]) -> impl Iterator<Item = (Fingerprint, Tally)> + use<> {
    let mut tallies: HashMap<Fingerprint, Tally> = HashMap::new();
    for crash in crashes {
        for (fingerprint, suspicion) in crash.suspects.iter().filter(|(_, suspicion)| !suspicion.is_cleared) {
            tallies.entry(*fingerprint).or_insert_with(|| Tally::new(crash)).add(crash, suspicion);
        }
    }
    tallies.into_iter()
}

impl Tally {
    const fn new(crash: &Crash) -> Self {
        Self {
            crashes: 0,
            survivals: 0,
            depth: 0,
            first_at: crash.lost_at,
            last_at: crash.lost_at,
            expires_at: crash.expires_at(),
        }
    }

    fn add(&mut self, crash: &Crash, suspicion: &Suspicion) {
        self.crashes += 1;
        self.survivals = self.survivals.max(suspicion.survivals);
        self.depth = self.depth.max(suspicion.depth);
        self.first_at = self.first_at.min(crash.lost_at);
        self.last_at = self.last_at.max(crash.lost_at);
        self.expires_at = self.expires_at.max(crash.expires_at());
    }

    /// Adds a crash if it has the suspect `fingerprint`.
    pub(super) fn add_crash(&mut self, crash: &Crash, fingerprint: &Fingerprint) {
        if let Some(suspicion) = crash.suspects.get(fingerprint) {
            self.add(crash, suspicion);
        }
    }

    /// Returns whether the suspect must be quarantined if nothing else explains the crashes.
    pub(super) const fn is_conclusive(&self) -> bool {
        let is_spread = self.last_at.millis_since(self.first_at) >= MIN_SPREAD_MS;
        self.crashes >= QUARANTINE_THRESHOLD && (is_spread || self.is_request())
    }

    pub(super) const fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST_DEPTH
    }

    /// Orders suspects by their crashes, with the advantage of whole requests. Of those with the same number, the one with the
    /// fewest survivals comes last, and then the one with the most crashes and the most specific one.
    pub(super) const fn rank(&self, fingerprint: &Fingerprint) -> (u32, Reverse<u32>, u32, u8, Fingerprint) {
        let advantage = if self.is_request() { REQUEST_ADVANTAGE } else { 0 };
        (self.crashes + advantage, Reverse(self.survivals), self.crashes, self.depth, *fingerprint)
    }
}
