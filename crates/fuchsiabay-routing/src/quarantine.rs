//! Requests that crash the backend servers that run them.

use std::{
    collections::HashMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
};

use fuchsiabay_base::{Fingerprint, Timestamp, WriterId, is_mechanism_enabled};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Shards, so that threads rarely wait for each other.
const SHARDS: usize = 16;
/// Fingerprints a shard keeps. More than this many suspects at a time means that crashes have another cause.
const FINGERPRINTS_PER_SHARD: usize = 256;
/// Crashes kept of one fingerprint: the highest threshold that a preset may set.
const CRASHES_PER_FINGERPRINT: usize = 100;

/// A record of the log stream `quarantine`. Times are on the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum QuarantineRecord {
    /// The backend server crashed while it ran the request.
    Crash {
        /// The request.
        fingerprint: Fingerprint,
        /// The life of the agent beside the server that crashed.
        server: WriterId,
        /// When the report expires.
        expires_at: Timestamp,
    },
    /// The request ran to its end alone on a server, so others caused the earlier crashes.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It is not suspected.
    NotSuspected,
    /// It was in flight during a crash. It must run alone.
    Suspect,
    /// It crashed too many servers and is refused until the deadline.
    Quarantined {
        /// When the quarantine ends.
        until: Timestamp,
    },
}

/// Crash reports by fingerprint, reduced in log order.
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
    /// Applies a record. A repeated report of the same server counts once.
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

    /// Returns how the request is to be treated when `crashes` crashed servers are too many.
    pub fn status(&self, fingerprint: &Fingerprint, crashes: u32, now: Timestamp) -> QuarantineStatus {
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
        // The quarantine ends when fewer than `crashes` reports are left.
        let needed = (crashes.max(1)) as usize;
        match ends.len().checked_sub(needed) {
            Some(i) if is_mechanism_enabled("quarantine") => QuarantineStatus::Quarantined { until: ends[i] },
            _ => QuarantineStatus::Suspect,
        }
    }

    /// Returns the suspected fingerprints with the number of servers that they crashed.
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
        if !shard.contains_key(&fingerprint) && shard.len() == FINGERPRINTS_PER_SHARD {
            evict(&mut shard, now);
        }
        let reports = shard.entry(fingerprint).or_default();
        reports.retain(|c| c.expires_at > now);
        if let Some(known) = reports.iter_mut().find(|c| c.server == crash.server) {
            known.expires_at = known.expires_at.max(crash.expires_at);
            return;
        }
        if reports.len() < CRASHES_PER_FINGERPRINT {
            reports.push(crash);
        }
    }

    fn shard(&self, fingerprint: &Fingerprint) -> &Mutex<HashMap<Fingerprint, Vec<Crash>>> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(fingerprint);
        &self.shards[hash as usize % SHARDS]
    }
}

/// Removes what has expired, or else the fingerprint with the fewest crashes that expires first.
fn evict(shard: &mut HashMap<Fingerprint, Vec<Crash>>, now: Timestamp) {
    shard.retain(|_, reports| reports.iter().any(|c| c.expires_at > now));
    if shard.len() < FINGERPRINTS_PER_SHARD {
        return;
    }
    let weakest = shard.iter().min_by_key(|(fingerprint, reports)| {
        (reports.len(), reports.iter().map(|c| c.expires_at).max(), **fingerprint)
    });
    if let Some(fingerprint) = weakest.map(|(fingerprint, _)| *fingerprint) {
        shard.remove(&fingerprint);
    }
}
