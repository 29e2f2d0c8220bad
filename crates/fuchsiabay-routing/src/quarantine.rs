//! Quarantine of requests that crash the backend servers that run them.

use std::{
    collections::HashMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
};

use fuchsiabay_base::{Fingerprint, Timestamp, WriterId, is_mechanism_enabled};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Number of independently locked shards, to reduce lock contention.
const SHARDS: usize = 16;
/// Maximum number of fingerprints in a shard. More suspects than this at a time mean that the crashes have another
/// cause.
const MAX_FINGERPRINTS_PER_SHARD: usize = 256;
/// Maximum number of crashes recorded for one fingerprint: the highest threshold that a preset may set.
const MAX_CRASHES_PER_FINGERPRINT: usize = 100;

/// A record of the log stream `quarantine`. Times are relative to the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum QuarantineRecord {
    /// The backend server crashed while it ran the request.
    Crash {
        /// The request.
        fingerprint: Fingerprint,
        /// The incarnation of the agent beside the server that crashed.
        server: WriterId,
        /// When the report expires.
        expires_at: Timestamp,
    },
    /// The request ran to completion alone on a server, so other requests caused the earlier crashes.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// Whether a request may run, judged by the crash reports about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It is not suspected of a crash.
    NotSuspected,
    /// It was in flight during a crash. It must run alone.
    Suspect,
    /// It crashed too many servers and is refused until the quarantine ends.
    Quarantined {
        /// When the quarantine ends.
        until: Timestamp,
    },
}

/// Crash reports by fingerprint, applied in log order.
#[derive(Debug, Default)]
pub struct Quarantine {
    shards: [Mutex<HashMap<Fingerprint, Vec<Crash>>>; SHARDS],
}

#[derive(Clone, Debug)]
struct Crash {
    server: WriterId,
    expires_at: Timestamp,
}

impl Quarantine {
    /// Applies a record. Repeated reports about one incarnation of a server count once.
    pub fn apply(&self, record: &QuarantineRecord, now: Timestamp) {
        match record {
            QuarantineRecord::Crash { fingerprint, server, expires_at } if *expires_at > now => {
                self.add(*fingerprint, Crash { server: server.clone(), expires_at: *expires_at }, now);
            }
            QuarantineRecord::Crash { .. } => {}
            QuarantineRecord::Cleared { fingerprint } => {
                self.shard(fingerprint).lock().remove(fingerprint);
            }
        }
    }

    /// Returns whether the request may run. It is quarantined when it has crashed `threshold` servers.
    pub fn status(&self, fingerprint: &Fingerprint, threshold: u32, now: Timestamp) -> QuarantineStatus {
        let shard = self.shard(fingerprint).lock();
        let Some(reports) = shard.get(fingerprint) else {
            return QuarantineStatus::NotSuspected;
        };
        let mut ends: Vec<Timestamp> =
            reports.iter().map(|c| c.expires_at).filter(|end| *end > now).collect();
        if ends.is_empty() {
            return QuarantineStatus::NotSuspected;
        }
        ends.sort_unstable();
        // The quarantine ends when fewer than `threshold` unexpired reports are left.
        let threshold = (threshold.max(1)) as usize;
        match ends.len().checked_sub(threshold) {
            Some(i) if is_mechanism_enabled("quarantine") => QuarantineStatus::Quarantined { until: ends[i] },
            _ => QuarantineStatus::Suspect,
        }
    }

    /// Returns the suspected fingerprints with the number of unexpired crash reports of each.
    pub fn suspects(&self, now: Timestamp) -> Vec<(Fingerprint, usize)> {
        let mut suspects = Vec::new();
        for shard in &self.shards {
            for (fingerprint, reports) in &*shard.lock() {
                let crashes = reports.iter().filter(|c| c.expires_at > now).count();
                if crashes > 0 {
                    suspects.push((*fingerprint, crashes));
                }
            }
        }
        suspects.sort_unstable();
        suspects
    }

    fn add(&self, fingerprint: Fingerprint, crash: Crash, now: Timestamp) {
        let mut shard = self.shard(&fingerprint).lock();
        if !shard.contains_key(&fingerprint) && shard.len() == MAX_FINGERPRINTS_PER_SHARD {
            evict(&mut shard, now);
        }
        let reports = shard.entry(fingerprint).or_default();
        reports.retain(|c| c.expires_at > now);
        if let Some(known) = reports.iter_mut().find(|c| c.server == crash.server) {
            known.expires_at = known.expires_at.max(crash.expires_at);
            return;
        }
        if reports.len() < MAX_CRASHES_PER_FINGERPRINT {
            reports.push(crash);
        }
    }

    fn shard(&self, fingerprint: &Fingerprint) -> &Mutex<HashMap<Fingerprint, Vec<Crash>>> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(fingerprint);
        &self.shards[hash as usize % SHARDS]
    }
}

/// Removes the expired fingerprints or, if there is none, the one with the fewest crashes; among equals, the one that
/// expires first.
fn evict(shard: &mut HashMap<Fingerprint, Vec<Crash>>, now: Timestamp) {
    shard.retain(|_, reports| reports.iter().any(|c| c.expires_at > now));
    if shard.len() < MAX_FINGERPRINTS_PER_SHARD {
        return;
    }
    let evicted = shard.iter().min_by_key(|(fingerprint, reports)| {
        (reports.len(), reports.iter().map(|c| c.expires_at).max(), **fingerprint)
    });
    if let Some(fingerprint) = evicted.map(|(fingerprint, _)| *fingerprint) {
        shard.remove(&fingerprint);
    }
}
