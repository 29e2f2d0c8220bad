//! Detection of requests that crash the servers that run them.

use std::collections::HashMap;

use fuchsiabay_base::{Fingerprint, Timestamp};

/// The number of crashes at which a request is quarantined. A crash affects every request on the server, so fewer
/// crashes do not identify the cause.
const QUARANTINE_THRESHOLD: u32 = 3;

/// The time for which a crash counts, in milliseconds.
const EXPIRY_MS: u64 = 20_000;

/// The maximum number of tracked fingerprints. If more requests are affected at a time, the crashes have another cause.
const CAPACITY: usize = 4_096;

/// Counts server crashes by the fingerprints of the requests that were running.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// The number of crashes by fingerprint, and when the entry expires.
    entries: HashMap<Fingerprint, (u32, Timestamp)>,
}

impl CrashTracker {
    /// Records that a server crashed before it responded to the request. Returns the number of crashes counted so far.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Timestamp) -> u32 {
        self.entries.retain(|_, (_, until)| *until > now);
        if self.entries.len() >= CAPACITY && !self.entries.contains_key(&fingerprint) {
            return 0;
        }
        let entry = self.entries.entry(fingerprint).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now.plus_millis(EXPIRY_MS);
        entry.0
    }

    /// Resets the count after the request ran to completion.
    pub fn clear(&mut self, fingerprint: &Fingerprint) {
        self.entries.remove(fingerprint);
    }

    /// Returns whether the request is quarantined, so that it must be refused.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.entries
            .get(fingerprint)
            .is_some_and(|(crashes, until)| *crashes >= QUARANTINE_THRESHOLD && *until > now)
    }
}
