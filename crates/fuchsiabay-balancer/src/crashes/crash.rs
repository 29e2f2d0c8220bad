//! One crash of a server.

use fuchsiabay_base::{Fingerprint, Timestamp};

use super::{
    Suspect,
    suspects::{Added, Suspects, Suspicion},
};

/// The longest time that a message between instances takes, in milliseconds. What it tells of the time of something is wrong by as
/// much.
pub(super) const MAX_MESSAGE_MS: u64 = 400;

/// The time for which a server must not have responded before the loss of its connections counts as a crash, in
/// milliseconds. The ranks of a closed group are checked within this time.
const CONFIRMATION_MS: u64 = 700;

/// The time for which a server must not have responded before other instances are told of the loss of its connections, in
/// milliseconds, if many were lost at the same time. Instances exchange every 250 ms, so that all know of it, and of what else the
/// server ran, before it counts.
const TELL_MS: u64 = 400;

/// The time for which a crash counts, in milliseconds.
pub(super) const EXPIRY_MS: u64 = 300_000;

/// The loss of the connections to a server, and what its unfinished requests had in common with others.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// When the first connection was lost.
    pub(super) lost_at: Timestamp,
    /// When the last connection was lost.
    last_lost_at: Timestamp,
    /// When the oldest request was sent whose connection was lost. The server had not crashed then.
    begun_at: Timestamp,
    /// Whether the server responded afterwards, so that it did not crash.
    pub(super) is_refuted: bool,
    /// Whether it responded so late that this refutes the loss for other instances, too.
    is_proven: bool,
    pub(super) suspects: Suspects,
    /// The revision of the ledger at which what is known of the crash last changed. None until other instances are told: most
    /// losses are refuted by then.
    pub(super) revision: Option<u64>,
    /// Whether something changed since that revision.
    pub(super) is_changed: bool,
    /// Whether it was reported that the loss counts as a crash.
    is_counted: bool,
}

impl Crash {
    pub(super) fn new(begun_at: Timestamp, lost_at: Timestamp) -> Self {
        Self {
            lost_at,
            last_lost_at: lost_at,
            begun_at,
            is_refuted: false,
            is_proven: false,
            suspects: Suspects::default(),
            revision: None,
            is_changed: true,
            is_counted: false,
        }
    }

    /// Adds the loss of a connection to the same process.
    pub(super) fn add_loss(&mut self, begun_at: Timestamp, lost_at: Timestamp) {
        self.lost_at = self.lost_at.min(lost_at);
        self.last_lost_at = self.last_lost_at.max(lost_at);
        self.begun_at = self.begun_at.min(begun_at);
    }

    /// Adds the suspects of one request. Returns how many of them are not kept.
    pub(super) fn add(&mut self, suspects: &[Suspect]) -> usize {
        let is_dropped = |suspect: &&Suspect| {
            !self.merge(
                suspect.fingerprint,
                Suspicion { depth: suspect.depth, is_cleared: false, survivals: 0 },
            )
        };
        suspects.iter().filter(is_dropped).count()
    }

    /// Adds what is known of a suspect. Returns whether it is kept.
    pub(super) fn merge(&mut self, fingerprint: Fingerprint, told: Suspicion) -> bool {
        let added = self.suspects.add(fingerprint, told);
        self.is_changed |= added == Added::Changed;
        added != Added::Dropped
    }

    /// Records that the server lived at `alive_at`. Other instances are told of it once that is so late that it refutes the loss for
    /// them, too. Returns whether it was not before.
    pub(super) fn record_alive(&mut self, alive_at: Timestamp) -> bool {
        let is_proven = alive_at >= self.last_lost_at.plus_millis(MAX_MESSAGE_MS);
        let is_new = is_proven && !std::mem::replace(&mut self.is_proven, true);
        self.is_changed |= is_new;
        is_new
    }

    /// Records that the server did not crash, so that its suspects do not matter. Returns whether that was not known before.
    pub(super) fn refute(&mut self) -> bool {
        let is_new = !std::mem::replace(&mut self.is_refuted, true);
        self.suspects = Suspects::default();
        self.is_changed |= is_new;
        is_new
    }

    /// Records how often servers survived the parts of prompts at this instance, and clears those that they survived `enough`
    /// times. An instance that has seen more than the others tells them.
    pub(super) fn record_survivals(&mut self, enough: u32, count: impl Fn(&Fingerprint) -> u32) {
        for (fingerprint, suspicion) in self.suspects.parts_mut() {
            if suspicion.is_cleared {
                continue;
            }
            let survivals = count(fingerprint);
            if survivals > suspicion.survivals {
                suspicion.survivals = survivals;
                self.is_changed = true;
            }
            if survivals >= enough {
                self.is_changed |= suspicion.clear();
            }
        }
    }

    /// Has other instances told of what is known, although it would not be told by itself.
    pub(super) fn request_publication(&mut self) {
        self.revision.get_or_insert(0);
        self.is_changed = true;
    }

    /// Sets the revision if other instances must be told of the crash or of a change of it. Returns whether it did.
    pub(super) fn publish(&mut self, revision: u64, is_single: bool, now: Timestamp) -> bool {
        let is_told = self.revision.is_some() || !self.is_refuted && (is_single || self.told_at() <= now);
        let is_premature = self.is_refuted && !self.is_proven;
        if !is_told || !self.is_changed || is_premature {
            return false;
        }
        self.is_changed = false;
        self.revision = Some(revision);
        true
    }

    /// Returns whether an answer of the same process to something sent at `sent_at` shows that it did not crash. It may have
    /// answered in the millisecond in which it crashed.
    pub(super) fn is_refuted_by(&self, sent_at: Timestamp) -> bool {
        sent_at > self.last_lost_at
    }

    /// Returns whether connections were lost after `begun_at`.
    pub(super) fn has_lost_since(&self, begun_at: Timestamp) -> bool {
        self.last_lost_at >= begun_at
    }

    /// Returns whether a connection opened at `opened_at` leads to the process that lost connections.
    pub(super) fn is_same_process(&self, opened_at: Timestamp) -> bool {
        opened_at <= self.begun_at
    }

    /// Returns the time from which other instances are told of the loss.
    pub(super) const fn told_at(&self) -> Timestamp {
        self.lost_at.plus_millis(TELL_MS)
    }

    /// Returns the time from which the loss counts as a crash.
    pub(super) const fn confirmed_at(&self) -> Timestamp {
        self.lost_at.plus_millis(CONFIRMATION_MS)
    }

    /// Records that the loss counts as a crash, if it does. Returns whether that was not recorded before.
    pub(super) fn count(&mut self, now: Timestamp) -> bool {
        let counts = self.counts(now);
        counts && !std::mem::replace(&mut self.is_counted, true)
    }

    /// Returns whether the loss counts as a crash.
    pub(super) fn counts(&self, now: Timestamp) -> bool {
        !self.is_refuted && self.confirmed_at() <= now && self.expires_at() > now
    }

    /// Returns whether it is not known yet whether the server crashed.
    pub(super) fn is_pending(&self, now: Timestamp) -> bool {
        !self.is_refuted && self.confirmed_at() > now
    }

    pub(super) const fn expires_at(&self) -> Timestamp {
        self.lost_at.plus_millis(EXPIRY_MS)
    }

    /// Returns whether `fingerprint` may have caused the crash.
    pub(super) fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(|suspicion| !suspicion.is_cleared)
    }
}
