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
    /// The recorded response.
    pub outcome: Option<Arc<Response>>,
}

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The claim holds its key.
    Won,
    /// Another claim holds the key. The losing claim stays void, even after the key is released.
    Lost,
    /// The claim is void: it is outside the claim window of its key, or was released before.
    Void,
    /// The outcome of the key is recorded.
    Completed,
    /// The key can be claimed again.
    Released,
    /// Nothing changed.
    Unchanged,
}

#[derive(Debug, Default)]
struct Entry {
    holder: Option<KeyHolder>,
    /// The claims released so far. A claim that follows its own release in the log is void.
    released: BTreeSet<Claim>,
}

/// Reduces the records of the stream `claims` in log order.
///
/// Memory is bounded: a key is evicted once no claim on it can be valid any more.
#[derive(Debug)]
pub struct ClaimLedger {
    limits: ClaimLimits,
    /// Ordered by the issue time of the keys.
    entries: BTreeMap<ClaimKey, Entry>,
    next_offset: Option<u64>,
    /// Records that were appended up to this time may be missing. `None` if this reader saw every record.
    incomplete_until: Option<Timestamp>,
}

impl ClaimLedger {
    /// Creates a ledger that has applied no record.
    pub fn new(limits: ClaimLimits) -> Self {
        Self { limits, entries: BTreeMap::new(), next_offset: None, incomplete_until: None }
    }

    /// Skips the records before the offset `first`, which the log no longer has. Returns true if earlier records were
    /// read and those between them and `first` are lost.
    ///
    /// `first_at` is when the record at `first` was appended, or the current time while the log retains no record.
    pub fn skip_to(&mut self, first: u64, first_at: Timestamp) -> bool {
        let gap = match self.next_offset {
            None => first > 0,
            Some(next) => first > next,
        };
        if gap {
            self.incomplete_until = Some(first_at);
        }
        let started = self.next_offset.is_some();
        self.next_offset = self.next_offset.max(Some(first));
        gap && started
    }

    /// Applies the next record. A record that was already applied has no effect.
    pub fn apply(&mut self, logged: &LoggedRecord) -> RecordEffect {
        let next = self.next_offset.unwrap_or(0);
        if logged.offset < next {
            return RecordEffect::Unchanged;
        }
        self.next_offset = Some(logged.offset + 1);
        self.evict_expired(logged.at);
        match &logged.record {
            None => RecordEffect::Unchanged,
            Some(ClaimRecord::Claim { claim, fingerprint }) => {
                self.apply_claim(logged.at, claim, *fingerprint)
            }
            Some(ClaimRecord::Outcome { claim, response }) => self.apply_outcome(claim, response),
            Some(ClaimRecord::Release { claim }) => self.apply_release(logged.at, claim),
        }
    }

    /// Returns the claim that holds `key`.
    pub fn holder(&self, key: &ClaimKey) -> Option<&KeyHolder> {
        self.entries.get(key)?.holder.as_ref()
    }

    /// Checks that every earlier claim on `key` was read, and that the key may be claimed at `now`.
    pub fn check_key(&self, key: &ClaimKey, now: Timestamp) -> Result<(), ClaimError> {
        if !is_mechanism_enabled("key-window") {
            return Ok(());
        }
        let earliest_claim = key.key.issued_at().minus_millis(self.limits.skew_ms);
        let is_complete = self.incomplete_until.is_none_or(|until| earliest_claim > until);
        if !is_complete || !self.limits.is_in_window(&key.key, now) {
            return Err(ClaimError::KeyOutsideWindow);
        }
        Ok(())
    }

    /// Returns whether `key` is so old that its records no longer matter at `now`.
    pub fn is_expired(&self, key: &ClaimKey, now: Timestamp) -> bool {
        self.limits.expires_at(&key.key) < now
    }

    /// Returns the offset to read next. `None` before the first page.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn apply_claim(&mut self, at: Timestamp, claim: &Claim, fingerprint: Fingerprint) -> RecordEffect {
        if !self.limits.is_in_window(&claim.key.key, at) && is_mechanism_enabled("claim-window") {
            return RecordEffect::Void;
        }
        let entry = self.entries.entry(claim.key.clone()).or_default();
        if entry.released.contains(claim) {
            return RecordEffect::Void;
        }
        if entry.holder.is_some() && is_mechanism_enabled("first-claim-wins") {
            return RecordEffect::Lost;
        }
        entry.holder = Some(KeyHolder { claim: claim.clone(), fingerprint, outcome: None });
        RecordEffect::Won
    }

    fn apply_outcome(&mut self, claim: &Claim, response: &Arc<Response>) -> RecordEffect {
        let holder = self.entries.get_mut(&claim.key).and_then(|entry| entry.holder.as_mut());
        let Some(holder) = holder.filter(|holder| holder.claim == *claim && holder.outcome.is_none()) else {
            return RecordEffect::Unchanged;
        };
        holder.outcome = Some(response.clone());
        RecordEffect::Completed
    }

    fn apply_release(&mut self, at: Timestamp, claim: &Claim) -> RecordEffect {
        if !self.limits.is_in_window(&claim.key.key, at) {
            return RecordEffect::Unchanged;
        }
        let entry = self.entries.entry(claim.key.clone()).or_default();
        entry.released.insert(claim.clone());
        let is_named =
            |holder: &KeyHolder| holder.claim == *claim || !is_mechanism_enabled("release-names-claim");
        if !entry.holder.as_ref().is_some_and(|holder| is_named(holder) && holder.outcome.is_none()) {
            return RecordEffect::Unchanged;
        }
        entry.holder = None;
        RecordEffect::Released
    }

    fn evict_expired(&mut self, at: Timestamp) {
        while let Some(oldest) = self.entries.first_entry() {
            if self.limits.expires_at(&oldest.key().key) >= at {
                return;
            }
            oldest.remove();
        }
    }
}
