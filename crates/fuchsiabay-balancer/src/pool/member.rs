//! One backend server in a pool.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;

use crate::{Health, ServerRecord};

/// The time for which a load report counts, in milliseconds. An older one says little about streams that last
/// one to two seconds.
const REPORT_LIFE_MS: u64 = 1_500;

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) record: Arc<ServerRecord>,
    pub(super) health: Health,
    /// Requests of this instance at the server.
    pub(super) own: u32,
    /// Their tokens.
    pub(super) own_tokens: u64,
    /// Requests of others at the server, and when that was reported.
    others: u32,
    reported_at: Option<Timestamp>,
    /// Until when the server says that it is full.
    full_until: Option<Timestamp>,
    /// Until when it cannot run anything, because its group is not open or another server has its address.
    blocked_until: Option<Timestamp>,
    /// How much slower than usual the server works.
    pub(super) pace: f64,
    /// Requests whose response has not begun.
    unanswered: u32,
    /// Since when the server has not begun a response while some request waits for one.
    silent_since: Option<Timestamp>,
    /// Whether it has left the directory. It is kept until its last request ends.
    pub(super) is_leaving: bool,
}

impl Member {
    pub(super) fn new(record: Arc<ServerRecord>) -> Self {
        Self {
            record,
            health: Health::default(),
            own: 0,
            own_tokens: 0,
            others: 0,
            reported_at: None,
            full_until: None,
            blocked_until: None,
            pace: 1.0,
            unanswered: 0,
            silent_since: None,
            is_leaving: false,
        }
    }

    /// Returns the member after its server started again. The requests sent to the former life still count until they
    /// end.
    pub(super) fn reborn(&self, record: Arc<ServerRecord>) -> Self {
        Self {
            own: self.own,
            own_tokens: self.own_tokens,
            unanswered: self.unanswered,
            silent_since: self.silent_since,
            ..Self::new(record)
        }
    }

    /// Returns the requests that are believed to be at the server.
    pub(super) fn load(&self, now: Timestamp) -> u32 {
        self.own + self.foreign_load(now)
    }

    pub(super) fn foreign_load(&self, now: Timestamp) -> u32 {
        match self.report_age_ms(now) {
            Some(age) if age < REPORT_LIFE_MS => self.others,
            _ => 0,
        }
    }

    pub(super) fn report_age_ms(&self, now: Timestamp) -> Option<u64> {
        self.reported_at.map(|at| now.millis_since(at))
    }

    /// Notes how many requests the server holds in all, as it said itself.
    pub(super) fn note_total(&mut self, total: u32, now: Timestamp) {
        self.others = total.saturating_sub(self.own);
        self.reported_at = Some(now);
    }

    /// Notes how many requests the other instances have at the server, as they said.
    pub(super) fn note_others(&mut self, others: u32, now: Timestamp) {
        self.others = others;
        self.reported_at = Some(now);
    }

    pub(super) fn note_full(&mut self, until: Timestamp) {
        self.full_until = Some(until);
    }

    /// Notes that a request is sent.
    pub(super) fn note_sent(&mut self, tokens: u64, now: Timestamp) {
        self.own += 1;
        self.own_tokens += tokens;
        self.unanswered += 1;
        self.silent_since.get_or_insert(now);
        self.health.note_sent();
    }

    /// Notes that a response has begun, or that a request ended without one.
    pub(super) fn note_answered(&mut self, now: Timestamp) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.silent_since = (self.unanswered > 0).then_some(now);
    }

    /// Returns for how long the server has not begun a response although one is due, in milliseconds.
    pub(super) fn silent_ms(&self, now: Timestamp) -> u64 {
        self.silent_since.map_or(0, |since| now.millis_since(since))
    }

    /// Blocks the server until `until`, or unblocks it.
    pub(super) fn set_blocked(&mut self, until: Option<Timestamp>) {
        self.blocked_until = until;
    }

    pub(super) fn is_blocked(&self, now: Timestamp) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    pub(super) fn is_choosable(&self, now: Timestamp) -> bool {
        !self.is_leaving
            && !self.is_blocked(now)
            && self.full_until.is_none_or(|until| until <= now)
            && self.health.is_usable(now)
    }
}
