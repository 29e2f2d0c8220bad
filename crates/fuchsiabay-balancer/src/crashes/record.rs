//! What is kept of the crashes for processes that start after all instances have ended.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
};

use fuchsiabay_base::{Fingerprint, Timestamp};
use serde::{Deserialize, Serialize};

use super::{
    CrashLedger, CrashReport, Incarnation, RequestOccupancy,
    crash::Crash,
    occupancies::{MAX_TOLD, Source},
    tally::{Tally, tallies},
};

/// The maximum number of crashes in a record. The oldest ones are left out.
const MAX_CRASHES: usize = 64;

/// The maximum number of suspects of each crash in a record. Those with the fewest crashes are left out.
const MAX_SUSPECTS: usize = 8;

/// The number of crashes under a suspect from which on it is recorded. Most servers crash once for another reason, with everything
/// that they run as suspects.
const MIN_CRASHES: u32 = 2;

/// The crashes that have suspects in common, with these suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// The epoch of the store for which the record was written. In a later epoch, the ages in the record are wrong.
    pub store_epoch: u64,
    /// The crashes, with their ages as of the time at which the record was written.
    pub crashes: Vec<CrashReport>,
    /// Which part of the servers ran the requests among the suspects and survived.
    pub occupancies: Vec<RequestOccupancy>,
}

impl CrashRecord {
    /// Returns whether there are no crashes.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Makes the crashes `ms` milliseconds older.
    pub fn add_age(&mut self, ms: u64) {
        self.crashes.iter_mut().for_each(|crash| crash.age_ms = crash.age_ms.saturating_add(ms));
    }

    /// Returns whether both records hold the same crashes with the same suspects, whatever their ages.
    pub fn has_same_evidence(&self, other: &Self) -> bool {
        self.evidence() == other.evidence()
    }

    /// Returns each crash with each of its suspects.
    fn evidence<'a>(&'a self) -> BTreeSet<(&'a Incarnation, Fingerprint)> {
        let pairs = |crash: &'a CrashReport| {
            crash.suspects.iter().map(|suspect| (&crash.incarnation, suspect.fingerprint))
        };
        self.crashes.iter().flat_map(pairs).collect()
    }
}

impl CrashLedger {
    /// Returns the record of the crashes that count at `now`.
    pub fn to_record(&self, store_epoch: u64, now: Timestamp) -> CrashRecord {
        let mut counted: Vec<_> = self.crashes.iter().filter(|(_, crash)| crash.counts(now)).collect();
        counted.sort_by_key(|(_, crash)| Reverse(crash.lost_at));
        let crashes: Vec<&Crash> = counted.iter().map(|(_, crash)| *crash).collect();
        let repeated: HashMap<Fingerprint, Tally> =
            tallies(&crashes).filter(|(_, tally)| tally.crashes >= MIN_CRASHES).collect();
        if repeated.is_empty() {
            return CrashRecord { store_epoch, ..CrashRecord::default() };
        }
        let reports = counted.into_iter().map(|(incarnation, crash)| {
            let mut report = CrashReport::new(incarnation, crash, None, now);
            keep_repeated(&mut report, &repeated);
            report
        });
        let crashes = reports.filter(|report| !report.suspects.is_empty()).take(MAX_CRASHES).collect();
        CrashRecord { store_epoch, crashes, occupancies: self.recorded_occupancies() }
    }

    /// Adds what a record holds. Crashes that are known are left as they are, because the record may be older.
    pub fn restore(&mut self, record: &CrashRecord, now: Timestamp) {
        for report in record.crashes.iter().take(MAX_CRASHES) {
            if !self.crashes.contains_key(&report.incarnation) {
                self.merge(report, now);
            }
        }
        for told in record.occupancies.iter().take(MAX_TOLD) {
            self.occupancies.record(Source::Record, *told, now);
        }
    }

    fn recorded_occupancies(&self) -> Vec<RequestOccupancy> {
        let total = |fingerprint: &Fingerprint| RequestOccupancy {
            fingerprint: *fingerprint,
            occupancy: self.occupancies.total(fingerprint),
        };
        self.contested.iter().map(total).filter(|one| !one.occupancy.is_zero()).collect()
    }
}

/// Keeps the suspects that are repeated, those with the most crashes first.
fn keep_repeated(report: &mut CrashReport, repeated: &HashMap<Fingerprint, Tally>) {
    report.suspects.retain(|suspect| !suspect.is_cleared && repeated.contains_key(&suspect.fingerprint));
    report.suspects.sort_by_key(|suspect| {
        let crashes = repeated.get(&suspect.fingerprint).map_or(0, |tally| tally.crashes);
        (Reverse(crashes), Reverse(suspect.depth), suspect.fingerprint)
    });
    report.suspects.truncate(MAX_SUSPECTS);
}
