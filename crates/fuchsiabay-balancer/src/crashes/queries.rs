//! What is quarantined, and what other instances are told.

use fuchsiabay_base::{Fingerprint, Timestamp};
use serde::Serialize;

use super::{CrashLedger, CrashReport, RequestOccupancy, Suspect};

/// The maximum number of crashes in one message to another instance. The rest follows in the next ones.
const MAX_REPORTS: usize = 16;

/// The number of suspects, each of at most 110 bytes in JSON, from which on a message holds no further crash. With the largest
/// crash on top, it stays below the limit of 1 MiB.
const MAX_REPORTED_SUSPECTS: usize = 4_096;

/// The number of servers up to which a loss of connections is told at once, so that it is not forgotten if this instance ends. A
/// group that is cut off loses more of them at the same time, and most of these losses are refuted soon.
const MAX_SINGLE_LOSSES: usize = 2;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Quarantine {
    /// What crashes servers.
    pub fingerprint: Fingerprint,
    /// The number of crashes under it.
    pub crashes: u32,
    /// When the quarantine ends.
    pub until: Timestamp,
}

impl CrashLedger {
    /// Returns why a request with `suspects` must be refused, if it must be.
    pub fn quarantine(&self, suspects: &[Suspect], now: Timestamp) -> Option<Quarantine> {
        let quarantines = suspects.iter().filter_map(|suspect| self.verdicts.get(&suspect.fingerprint, now));
        quarantines.max_by_key(|quarantine| quarantine.crashes)
    }

    /// Returns whether so few servers were lost recently that other instances are told at once.
    pub fn tells_at_once(&self, now: Timestamp) -> bool {
        self.crashes.values().filter(|crash| crash.is_pending(now)).count() <= MAX_SINGLE_LOSSES
    }

    /// Returns the number of servers that crashed recently, or whose loss was not refuted yet.
    pub fn lost_servers(&self) -> usize {
        self.crashes.values().filter(|crash| !crash.is_refuted).count()
    }

    /// Returns what changed after the revision `since`, for another instance, and the revision up to which that is complete.
    pub fn changes_since(&self, since: u64, now: Timestamp) -> (u64, Vec<CrashReport>) {
        let changed = self.crashes.iter().filter_map(|(incarnation, crash)| {
            let revision = crash.revision.filter(|revision| *revision > since && crash.expires_at() > now)?;
            // An instance that was told nothing needs no refutations.
            if since == 0 && crash.is_refuted {
                return None;
            }
            let alive_at = self.alive_at.get(incarnation).copied();
            Some((revision, CrashReport::new(incarnation, crash, alive_at, now)))
        });
        let mut changed: Vec<(u64, CrashReport)> = changed.collect();
        changed.sort_unstable_by_key(|(revision, _)| *revision);
        let sizes = changed.iter().map(|(_, report)| report.suspects.len());
        let sums = sizes.scan(0, |sum, n| Some(std::mem::replace(sum, *sum + n)));
        let fitting = sums.take_while(|sum| *sum < MAX_REPORTED_SUSPECTS).count().min(MAX_REPORTS);
        let is_complete = changed.len() <= fitting;
        changed.truncate(fitting);
        let last = changed.last().map(|(revision, _)| *revision).filter(|_| !is_complete);
        (last.unwrap_or(self.revision), changed.into_iter().map(|(_, report)| report).collect())
    }

    /// Returns which part of the servers runs the requests under which several servers were lost, for other instances.
    pub fn own_occupancies(&self, now: Timestamp) -> Vec<RequestOccupancy> {
        let occupancy = |fingerprint: &Fingerprint| RequestOccupancy {
            fingerprint: *fingerprint,
            occupancy: self.survivals.occupancy(fingerprint, now),
        };
        self.contested.iter().map(occupancy).filter(|one| !one.occupancy.is_zero()).collect()
    }

    /// Returns everything that is quarantined.
    pub fn quarantines(&self, now: Timestamp) -> Vec<Quarantine> {
        self.verdicts.iter().filter(|quarantine| quarantine.until > now).copied().collect()
    }
}
