//! Requests that crash the servers that run them.

use std::collections::HashMap;

use fuchsiabay_base::{Fingerprint, Timestamp};

/// Crashes after which a request is refused. A lost server has many innocent requests, so a few crashes prove nothing.
const REFUSE_AFTER: u32 = 3;

/// The time for which a crash counts, in milliseconds.
const EXPIRY_MS: u64 = 20_000;

/// Fingerprints that are kept. More suspects at a time mean that the crashes have another cause.
const CAPACITY: usize = 4_096;

/// Counts crashes by the fingerprint of the request that was running.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: HashMap<Fingerprint, (u32, Timestamp)>,
}

impl CrashTracker {
    /// Notes that a server was lost before it answered the request. Returns the crashes counted so far.
    pub fn note_crash(&mut self, fingerprint: Fingerprint, now: Timestamp) -> u32 {
        self.suspects.retain(|_, (_, until)| *until > now);
        if self.suspects.len() >= CAPACITY && !self.suspects.contains_key(&fingerprint) {
            return 0;
        }
        let suspect = self.suspects.entry(fingerprint).or_insert((0, now));
        suspect.0 += 1;
        suspect.1 = now.plus_millis(EXPIRY_MS);
        suspect.0
    }

    /// Notes that the request ran to an end.
    pub fn clear(&mut self, fingerprint: &Fingerprint) {
        self.suspects.remove(fingerprint);
    }

    /// Returns whether the request must be refused.
    pub fn is_refused(&self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.suspects
            .get(fingerprint)
            .is_some_and(|(crashes, until)| *crashes >= REFUSE_AFTER && *until > now)
    }
}
