//! What explains the crashes of servers, and is therefore quarantined.

use std::{cmp::Reverse, collections::HashMap};

use fuchsiabay_base::{Fingerprint, Timestamp};

use super::{CrashEvent, Quarantine, crash::Crash, suspect::WHOLE_REQUEST_DEPTH, suspects::Suspicion};

/// The number of crashes at which a suspect is quarantined. A crash affects every request on the server, so fewer crashes do
/// not identify the cause.
const QUARANTINE_THRESHOLD: u32 = 3;

/// The minimum time between the first and the last crash under a part of prompts, in milliseconds. Servers that fail together,
/// such as those of a rack, crash under everything that they run. They rarely run the same request.
const MIN_SPREAD_MS: u64 = 1_000;

/// How many crashes a whole request may explain less than a part of prompts that servers have survived more often. A part is so
/// common that it may run beside the request each time, and on a server that crashes for another reason.
const REQUEST_ADVANTAGE: u32 = 1;

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

impl Verdicts {
    /// Determines the fewest suspects that explain the crashes: the one with the most crashes first, then the one with the most of
    /// the crashes that remain unexplained. A whole request under which enough servers crashed is quarantined whatever else
    /// explains its crashes.
    pub(super) fn of<'a>(crashes: impl Iterator<Item = &'a Crash> + Clone, now: Timestamp) -> Self {
        let due = crashes.clone().flat_map(|crash| [crash.told_at(), crash.confirmed_at()]);
        let next_evaluation = due.filter(|at| *at > now).min();
        let mut verdicts = Self { next_evaluation, ..Self::default() };
        let mut unexplained: Vec<&Crash> = crashes.filter(|crash| crash.counts(now)).collect();
        verdicts.cleared = cleared_requests(&unexplained);
        let requests = conclusive_tallies(&unexplained).filter(|(_, tally)| tally.is_request());
        requests.for_each(|(fingerprint, tally)| verdicts.add(fingerprint, tally));
        while let Some((fingerprint, tally)) =
            conclusive_tallies(&unexplained).max_by_key(|(fingerprint, tally)| tally.rank(fingerprint))
        {
            verdicts.add(fingerprint, tally);
            unexplained.retain(|crash| !crash.is_suspect(&fingerprint));
        }
        verdicts
    }

    fn add(&mut self, fingerprint: Fingerprint, tally: Tally) {
        let quarantine = Quarantine { fingerprint, crashes: tally.crashes, until: tally.expires_at };
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
        let added = self.iter().filter(|one| !previous.quarantines.contains_key(&one.fingerprint));
        let is_released =
            move |one: &&Quarantine| one.until > now && !self.quarantines.contains_key(&one.fingerprint);
        let released = previous.iter().filter(is_released);
        let cleared =
            self.cleared.iter().filter(|(fingerprint, _)| !previous.cleared.contains_key(*fingerprint));
        let cleared = cleared.map(|(fingerprint, Cleared { crashes, survivals })| CrashEvent::Cleared {
            fingerprint: *fingerprint,
            crashes: *crashes,
            survivals: *survivals,
        });
        let added = added.copied().map(CrashEvent::Quarantined);
        added.chain(released.copied().map(CrashEvent::Released)).chain(cleared)
    }

    /// Has the verdicts determined again soon.
    pub(super) fn request_evaluation(&mut self, now: Timestamp) {
        let at = now.plus_millis(EVALUATION_DELAY_MS);
        self.next_evaluation = Some(self.next_evaluation.map_or(at, |next| next.min(at)));
    }

    pub(super) fn is_evaluation_due(&self, now: Timestamp) -> bool {
        self.next_evaluation.is_some_and(|at| at <= now)
    }
}

/// A whole request that is served although enough servers crashed under it.
#[derive(Clone, Copy, Debug)]
struct Cleared {
    crashes: u32,
    survivals: u32,
}

/// Returns the whole requests under which enough servers crashed, but that are cleared in some of these crashes.
fn cleared_requests(crashes: &[&Crash]) -> HashMap<Fingerprint, Cleared> {
    let mut cleared: HashMap<Fingerprint, Cleared> = HashMap::new();
    let mut open: HashMap<Fingerprint, u32> = HashMap::new();
    let requests = crashes.iter().flat_map(|crash| crash.suspects.iter()).filter(|(_, one)| one.is_request());
    for (fingerprint, suspicion) in requests {
        let entry = cleared.entry(*fingerprint).or_insert(Cleared { crashes: 0, survivals: 0 });
        entry.crashes += 1;
        entry.survivals = entry.survivals.max(suspicion.survivals);
        *open.entry(*fingerprint).or_default() += u32::from(!suspicion.is_cleared);
    }
    cleared.retain(|fingerprint, one| {
        one.crashes >= QUARANTINE_THRESHOLD && open[fingerprint] < QUARANTINE_THRESHOLD
    });
    cleared
}

/// The crashes under one suspect.
#[derive(Clone, Copy, Debug)]
struct Tally {
    crashes: u32,
    /// How often servers survived the suspect, as far as any instance has told.
    survivals: u32,
    depth: u8,
    first_at: Timestamp,
    last_at: Timestamp,
    expires_at: Timestamp,
}

/// Returns the suspects that must be quarantined if nothing else explains the crashes.
fn conclusive_tallies(crashes: &[&Crash]) -> impl Iterator<Item = (Fingerprint, Tally)> {
    let mut tallies: HashMap<Fingerprint, Tally> = HashMap::new();
    for crash in crashes {
        for (fingerprint, suspicion) in crash.suspects.iter().filter(|(_, suspicion)| !suspicion.is_cleared) {
            tallies.entry(*fingerprint).or_insert_with(|| Tally::new(crash)).add(crash, suspicion);
        }
    }
    tallies.into_iter().filter(|(_, tally)| tally.is_conclusive())
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

    const fn is_conclusive(&self) -> bool {
        let is_spread = self.last_at.millis_since(self.first_at) >= MIN_SPREAD_MS;
        self.crashes >= QUARANTINE_THRESHOLD && (is_spread || self.is_request())
    }

    const fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST_DEPTH
    }

    /// Orders suspects by their crashes, with the advantage of whole requests. Of those with the same number, the one with the
    /// fewest survivals comes last, and then the one with the most crashes and the most specific one.
    const fn rank(&self, fingerprint: &Fingerprint) -> (u32, Reverse<u32>, u32, u8, Fingerprint) {
        let advantage = if self.is_request() { REQUEST_ADVANTAGE } else { 0 };
        (self.crashes + advantage, Reverse(self.survivals), self.crashes, self.depth, *fingerprint)
    }
}
