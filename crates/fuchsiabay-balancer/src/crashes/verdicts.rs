//! What explains the crashes of servers, and is therefore quarantined.

use std::{cmp::Reverse, collections::HashMap};

use fuchsiabay_base::{Fingerprint, Timestamp};

use super::{
    CrashEvent, Occupancy, Quarantine,
    crash::Crash,
    tally::{QUARANTINE_THRESHOLD, Tally, tallies},
};

/// The highest probability of the crashes under a request that servers survived at which it is quarantined. With a higher one, it
/// may have run by chance on servers that crashed for other reasons.
const MAX_CHANCE: f64 = 0.001;

/// The highest probability at which such a request stays quarantined. It is higher, because the occupancy that the instances tell
/// varies.
const MAX_CHANCE_KEPT: f64 = 0.01;

/// The time for which a request that servers survived is refused after the last crash under it, in milliseconds: as long as
/// survivals are remembered. Other requests with the same path, caller and body may be sound, so it is tried again earlier than
/// one that no server has survived.
const SURVIVED_QUARANTINE_MS: u64 = 60_000;

/// The time after a change at which the verdicts are determined, in milliseconds. The loss of a server's connections changes
/// the ledger many times.
const EVALUATION_DELAY_MS: u64 = 100;

/// What is quarantined, as of the last evaluation.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdicts {
    quarantines: HashMap<Fingerprint, Quarantine>,
    /// The whole requests that are served although enough servers crashed under them.
    cleared: HashMap<Fingerprint, Cleared>,
    /// When the verdicts must be determined again.
    next_evaluation: Option<Timestamp>,
}

/// A whole request that is served although enough servers crashed under it.
#[derive(Clone, Copy, Debug)]
struct Cleared {
    crashes: u32,
    occupancy: Occupancy,
}

impl Verdicts {
    /// Determines what explains the crashes: first every whole request that no server has survived and under which enough servers
    /// crashed, whatever else explains its crashes; then, for the others, the requests that servers survived; and then the fewest
    /// parts of prompts. `occupancy` returns which part of the servers run a request and survive.
    pub(super) fn of<'a>(
        crashes: impl Iterator<Item = &'a Crash> + Clone,
        occupancy: impl Fn(&Fingerprint) -> Occupancy,
        previous: &Self,
        now: Timestamp,
    ) -> Self {
        let due = crashes.clone().flat_map(|crash| [crash.told_at(), crash.confirmed_at()]);
        let next_evaluation = due.filter(|at| *at > now).min();
        let mut verdicts = Self { next_evaluation, ..Self::default() };
        let counted: Vec<&Crash> = crashes.clone().filter(|crash| crash.counts(now)).collect();
        let pending: Vec<&Crash> = crashes.filter(|crash| crash.is_pending(now)).collect();
        let (unsurvived, survived): (Vec<_>, Vec<_>) =
            conclusive_requests(&counted).partition(|(fingerprint, _)| occupancy(fingerprint).is_zero());
        for (fingerprint, tally) in unsurvived {
            verdicts.add(fingerprint, tally, tally.expires_at);
        }
        if !survived.is_empty() {
            verdicts.add_survived_requests(&counted, &pending, &occupancy, previous);
        }
        verdicts.add_parts(&counted);
        verdicts
    }

    /// Quarantines the fewest of the other whole requests that explain the remaining crashes: first the one that is the least
    /// likely to run on these servers by chance. The others are cleared. Once enough crashes count, a further server that is
    /// lost under a request is taken into account at once.
    fn add_survived_requests(
        &mut self,
        counted: &[&Crash],
        pending: &[&Crash],
        occupancy: &impl Fn(&Fingerprint) -> Occupancy,
        previous: &Self,
    ) {
        let max_chance = |fingerprint: &Fingerprint| match previous.quarantines.contains_key(fingerprint) {
            true => MAX_CHANCE_KEPT,
            false => MAX_CHANCE,
        };
        let is_unexplained = |crash: &&Crash| !self.quarantines.keys().any(|one| crash.is_suspect(one));
        let mut unexplained: Vec<&Crash> = counted.iter().copied().filter(is_unexplained).collect();
        loop {
            let likely = conclusive_requests(&unexplained).filter_map(|(fingerprint, mut tally)| {
                let counted = tally.crashes;
                pending.iter().for_each(|crash| tally.add_crash(crash, &fingerprint));
                // A request that is refused cannot run on servers that crash after the last one.
                let is_possible = |crash: &&&Crash| (tally.first_at..=tally.last_at).contains(&crash.lost_at);
                let possible =
                    unexplained.iter().filter(is_possible).count() as u32 + tally.crashes - counted;
                let chance = occupancy(&fingerprint).chance(tally.crashes, possible);
                (chance <= max_chance(&fingerprint)).then_some((chance, fingerprint, tally))
            });
            let least_likely = likely.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
            let Some((_, fingerprint, tally)) = least_likely else {
                break;
            };
            self.add(fingerprint, tally, survived_until(&tally));
            unexplained.retain(|crash| !crash.is_suspect(&fingerprint));
        }
        let cleared = conclusive_requests(&unexplained).map(|(fingerprint, Tally { crashes, .. })| {
            (fingerprint, Cleared { crashes, occupancy: occupancy(&fingerprint) })
        });
        self.cleared = cleared.collect();
    }

    /// Quarantines the fewest parts of prompts that explain the crashes: the one with the most crashes first, then the one with
    /// the most of the crashes that remain unexplained, also by the requests that are quarantined.
    fn add_parts(&mut self, crashes: &[&Crash]) {
        let mut unexplained = crashes.to_vec();
        loop {
            let is_candidate = |(fingerprint, tally): &(Fingerprint, Tally)| {
                tally.is_conclusive() && (!tally.is_request() || self.quarantines.contains_key(fingerprint))
            };
            let candidates = tallies(&unexplained).filter(is_candidate);
            let Some((fingerprint, tally)) =
                candidates.max_by_key(|(fingerprint, tally)| tally.rank(fingerprint))
            else {
                return;
            };
            self.add(fingerprint, tally, tally.expires_at);
            unexplained.retain(|crash| !crash.is_suspect(&fingerprint));
        }
    }

    fn add(&mut self, fingerprint: Fingerprint, tally: Tally, until: Timestamp) {
        let quarantine = Quarantine { fingerprint, crashes: tally.crashes, until };
        self.quarantines.entry(fingerprint).or_insert(quarantine);
    }

    pub(super) fn get(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<Quarantine> {
        self.quarantines.get(fingerprint).filter(|quarantine| quarantine.until > now).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Quarantine> {
        self.quarantines.values()
    }

    /// Returns what changed since `previous`, as of `now`.
    pub(super) fn events_since<'a>(
        &'a self,
        previous: &'a Self,
        now: Timestamp,
    ) -> impl Iterator<Item = CrashEvent> + 'a {
        let only_in = move |one: &'a Self, other: &'a Self| {
            let is_refused = move |quarantine: &&Quarantine| quarantine.until > now;
            let is_new = move |quarantine: &&Quarantine| other.get(&quarantine.fingerprint, now).is_none();
            one.iter().filter(is_refused).filter(is_new).copied()
        };
        let is_new =
            |(fingerprint, _): &(&Fingerprint, &Cleared)| !previous.cleared.contains_key(fingerprint);
        let cleared = self.cleared.iter().filter(is_new).map(|(fingerprint, one)| CrashEvent::Cleared {
            fingerprint: *fingerprint,
            crashes: one.crashes,
            occupancy: one.occupancy,
        });
        let added = only_in(self, previous).map(CrashEvent::Quarantined);
        added.chain(only_in(previous, self).map(CrashEvent::Released)).chain(cleared)
    }

    /// Has the verdicts determined again soon.
    pub(super) fn request_evaluation(&mut self, now: Timestamp) {
        self.request_evaluation_at(now.plus_millis(EVALUATION_DELAY_MS));
    }

    /// Has the verdicts determined again at `at`, or before.
    pub(super) fn request_evaluation_at(&mut self, at: Timestamp) {
        self.next_evaluation = Some(self.next_evaluation.map_or(at, |next| next.min(at)));
    }

    pub(super) fn is_evaluation_due(&self, now: Timestamp) -> bool {
        self.next_evaluation.is_some_and(|at| at <= now)
    }
}

/// Returns the whole requests under which enough servers crashed.
fn conclusive_requests(crashes: &[&Crash]) -> impl Iterator<Item = (Fingerprint, Tally)> + use<> {
    tallies(crashes).filter(|(_, tally)| tally.is_request() && tally.is_conclusive())
}

/// Returns until when a request that servers survived is refused. It is tried again once; if servers crash under it then, it is
/// refused for as long as crashes count.
fn survived_until(tally: &Tally) -> Timestamp {
    let first_end = tally.first_at.plus_millis(SURVIVED_QUARANTINE_MS);
    if tally.last_at >= first_end {
        return tally.expires_at;
    }
    tally.last_at.plus_millis(SURVIVED_QUARANTINE_MS)
}

/// Returns the whole requests under which several servers were lost, those with the most first, `limit` at most.
pub(super) fn contested_requests<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    limit: usize,
) -> Vec<Fingerprint> {
    let lost: Vec<&Crash> = crashes.filter(|crash| !crash.is_refuted).collect();
    let is_contested =
        |(_, tally): &(Fingerprint, Tally)| tally.is_request() && tally.crashes + 1 >= QUARANTINE_THRESHOLD;
    let mut contested: Vec<_> = tallies(&lost).filter(is_contested).collect();
    contested.sort_unstable_by_key(|(fingerprint, tally)| (Reverse(tally.crashes), *fingerprint));
    contested.into_iter().take(limit).map(|(fingerprint, _)| fingerprint).collect()
}
