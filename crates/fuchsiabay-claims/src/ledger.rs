//! The reducer of the stream `claims`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fuchsiabay_base::{Fingerprint, Timestamp, is_mechanism_enabled};

use crate::{Claim, ClaimError, ClaimKey, ClaimLimits, ClaimRecord, LoggedRecord, Response};

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// The claim.
    pub claim: Claim,
    /// The content hash of its call.
    pub fingerprint: Fingerprint,
    /// The recorded answer.
    pub outcome: Option<Arc<Response>>,
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The claim holds its key.
    Won,
    /// Another claim holds the key. A claim that lost stays void, also after the key was released.
    Lost,
    /// The claim is void: it came too late, too early or after its own release.
    Void,
    /// The key has an outcome.
    Completed,
    /// The key is free again.
    Released,
    /// Nothing changed.
    Unchanged,
}

#[derive(Debug, Default)]
struct Entry {
    held: Option<KeyHolder>,
    /// Releases seen. A release whose claim arrives later in the log makes that claim void.
    released: BTreeSet<Claim>,
}

/// Reduces the records of the stream `claims` in log order, in bounded memory: a key is forgotten once no claim
/// on it can be valid any more.
#[derive(Debug)]
pub struct ClaimLedger {
    limits: ClaimLimits,
    /// Ordered by the issue time of the keys.
    entries: BTreeMap<ClaimKey, Entry>,
    next: Option<u64>,
    /// Records before this time may have been dropped before this reader saw them. None when it saw all.
    floor: Option<Timestamp>,
}

impl ClaimLedger {
    /// Creates the ledger of a reader that has read nothing.
    pub fn new(limits: ClaimLimits) -> Self {
        Self { limits, entries: BTreeMap::new(), next: None, floor: None }
    }

    /// States the first retained offset and when the log took its record. Returns true if records were dropped
    /// before this reader saw them.
    ///
    /// `first_at` is the present time while the log retains no record at all.
    pub fn skip_to(&mut self, first: u64, first_at: Timestamp) -> bool {
        let gap = match self.next {
            None => first > 0,
            Some(next) => first > next,
        };
        if gap {
            self.floor = Some(first_at);
        }
        let started = self.next.is_some();
        self.next = self.next.max(Some(first));
        gap && started
    }

    /// Applies the next record. A record that was read before does nothing.
    pub fn apply(&mut self, logged: &LoggedRecord) -> RecordEffect {
        let next = self.next.unwrap_or(0);
        if logged.offset < next {
            return RecordEffect::Unchanged;
        }
        self.next = Some(logged.offset + 1);
        self.forget(logged.at);
        match &logged.record {
            None => RecordEffect::Unchanged,
            Some(ClaimRecord::Claim { claim, fingerprint }) => self.claim(logged.at, claim, *fingerprint),
            Some(ClaimRecord::Outcome { claim, response }) => self.outcome(claim, response),
            Some(ClaimRecord::Release { claim }) => self.release(logged.at, claim),
        }
    }

    /// Returns the claim that holds `key`.
    pub fn holder(&self, key: &ClaimKey) -> Option<&KeyHolder> {
        self.entries.get(key)?.held.as_ref()
    }

    /// Checks whether a claim on `key` made at `now` can be trusted to be the first one.
    pub fn check_key(&self, key: &ClaimKey, now: Timestamp) -> Result<(), ClaimError> {
        if !is_mechanism_enabled("key-window") {
            return Ok(());
        }
        let oldest_claim = key.key.issued_at().minus_millis(self.limits.skew_ms);
        let seen_all = self.floor.is_none_or(|floor| oldest_claim > floor);
        if !seen_all || !self.limits.in_time(&key.key, now) {
            return Err(ClaimError::KeyOutsideWindow);
        }
        Ok(())
    }

    /// Returns whether `key` is so old that its records no longer matter at `now`.
    pub fn is_forgotten(&self, key: &ClaimKey, now: Timestamp) -> bool {
        self.limits.forget_at(&key.key) < now
    }

    /// Returns the offset to read next, or none before the first page.
    pub fn next_offset(&self) -> Option<u64> {
        self.next
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn claim(&mut self, at: Timestamp, claim: &Claim, fingerprint: Fingerprint) -> RecordEffect {
        if !self.limits.in_time(&claim.key.key, at) && is_mechanism_enabled("claim-window") {
            return RecordEffect::Void;
        }
        let entry = self.entries.entry(claim.key.clone()).or_default();
        if entry.released.contains(claim) {
            return RecordEffect::Void;
        }
        if entry.held.is_some() && is_mechanism_enabled("first-claim-wins") {
            return RecordEffect::Lost;
        }
        entry.held = Some(KeyHolder { claim: claim.clone(), fingerprint, outcome: None });
        RecordEffect::Won
    }

    fn outcome(&mut self, claim: &Claim, response: &Arc<Response>) -> RecordEffect {
        let held = self.entries.get_mut(&claim.key).and_then(|entry| entry.held.as_mut());
        let Some(held) = held.filter(|held| held.claim == *claim && held.outcome.is_none()) else {
            return RecordEffect::Unchanged;
        };
        held.outcome = Some(response.clone());
        RecordEffect::Completed
    }

    fn release(&mut self, at: Timestamp, claim: &Claim) -> RecordEffect {
        if !self.limits.in_time(&claim.key.key, at) {
            return RecordEffect::Unchanged;
        }
        let entry = self.entries.entry(claim.key.clone()).or_default();
        entry.released.insert(claim.clone());
        let names = |held: &KeyHolder| held.claim == *claim || !is_mechanism_enabled("release-names-claim");
        if !entry.held.as_ref().is_some_and(|held| names(held) && held.outcome.is_none()) {
            return RecordEffect::Unchanged;
        }
        entry.held = None;
        RecordEffect::Released
    }

    fn forget(&mut self, at: Timestamp) {
        while let Some(oldest) = self.entries.first_entry() {
            if self.limits.forget_at(&oldest.key().key) >= at {
                return;
            }
            oldest.remove();
        }
    }
}
