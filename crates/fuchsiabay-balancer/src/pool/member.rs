//! One backend server in a pool.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;

use crate::{Health, ServerRecord};

/// How long a load report is used, in milliseconds. Streams last one to two seconds, so an older report says little
/// about the current load.
const REPORT_LIFETIME_MS: u64 = 1_500;

/// The weight of a new sample in the moving average of the time to the first byte.
const FIRST_BYTE_WEIGHT: f64 = 0.3;

/// How long the time to the first byte of a server is used after its last response, in milliseconds. Callers wait for a first
/// byte for 2 s and longer.
const FIRST_BYTE_LIFETIME_MS: u64 = 3_000;

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) record: Arc<ServerRecord>,
    pub(super) health: Health,
    /// The number of this instance's requests at the server.
    pub(super) own_requests: u32,
    /// The tokens of this instance's requests.
    pub(super) own_tokens: u64,
    /// The number of other instances' requests at the server, as last reported.
    reported_others: u32,
    reported_at: Option<Timestamp>,
    /// The time until which the server gets no requests because it responded that it is full.
    full_until: Option<Timestamp>,
    /// The time until which the server cannot run requests, because its group is not open or another server uses its
    /// address.
    blocked_until: Option<Timestamp>,
    /// The factor by which the server is slower than usual.
    pub(super) slowdown: f64,
    /// The number of this instance's requests whose response has not started.
    awaiting_response: u32,
    /// The time since which the server has not started a response although a request waits for one.
    silent_since: Option<Timestamp>,
    /// The moving average of the time to the first byte of a response, in milliseconds.
    first_byte_ms: f64,
    /// Until when the average is recent.
    first_byte_until: Option<Timestamp>,
    /// Whether the server is no longer ready in the directory, or has stated that it is leaving. The member is kept until its last
    /// request ends.
    pub(super) is_leaving: bool,
    /// The position of this instance among those that prefer the server. None until it is determined.
    pub(super) preference: Option<usize>,
    /// When this instance last sent a request to the server.
    last_sent_at: Option<Timestamp>,
    /// Whether the zone of the server is drained.
    pub(super) is_drained: bool,
}

impl Member {
    pub(super) fn new(record: Arc<ServerRecord>) -> Self {
        Self {
            record,
            health: Health::default(),
            own_requests: 0,
            own_tokens: 0,
            reported_others: 0,
            reported_at: None,
            full_until: None,
            blocked_until: None,
            slowdown: 1.0,
            awaiting_response: 0,
            silent_since: None,
            first_byte_ms: 0.0,
            first_byte_until: None,
            is_leaving: false,
            preference: None,
            last_sent_at: None,
            is_drained: false,
        }
    }

    /// Returns the member for a restarted server. The requests sent to the previous incarnation count until they end.
    pub(super) fn restarted(&self, record: Arc<ServerRecord>) -> Self {
        Self {
            own_requests: self.own_requests,
            own_tokens: self.own_tokens,
            awaiting_response: self.awaiting_response,
            silent_since: self.silent_since,
            ..Self::new(record)
        }
    }

    /// Returns the estimated number of requests at the server.
    pub(super) fn load(&self, now: Timestamp) -> u32 {
        self.own_requests.saturating_add(self.others_requests(now))
    }

    pub(super) fn others_requests(&self, now: Timestamp) -> u32 {
        if self.is_report_recent(now) { self.reported_others } else { 0 }
    }

    /// Returns whether the number of other instances' requests is known.
    pub(super) fn is_report_recent(&self, now: Timestamp) -> bool {
        self.report_age_ms(now).is_some_and(|age| age < REPORT_LIFETIME_MS)
    }

    pub(super) fn report_age_ms(&self, now: Timestamp) -> Option<u64> {
        self.reported_at.map(|at| now.millis_since(at))
    }

    /// Sets the total number of requests at the server, as the server reported it.
    pub(super) fn set_reported_load(&mut self, total: u32, now: Timestamp) {
        self.reported_others = total.saturating_sub(self.own_requests);
        self.reported_at = Some(now);
    }

    /// Sets the number of other instances' requests at the server, as they reported it.
    pub(super) fn set_neighbour_load(&mut self, requests: u32, now: Timestamp) {
        self.reported_others = requests;
        self.reported_at = Some(now);
    }

    pub(super) fn record_full(&mut self, until: Timestamp) {
        self.full_until = Some(until);
    }

    /// Records that a request is sent to the server.
    pub(super) fn record_sent(&mut self, tokens: u64, now: Timestamp) {
        self.own_requests += 1;
        self.own_tokens = self.own_tokens.saturating_add(tokens);
        self.awaiting_response += 1;
        self.silent_since.get_or_insert(now);
        self.last_sent_at = Some(now);
        self.health.record_sent();
    }

    /// Returns whether the server is probably processing the prompt of one of this instance's requests, which takes
    /// `prefill_ms`. A server may begin its response before it has processed the prompt.
    pub(super) fn has_own_prefill(&self, prefill_ms: u64, now: Timestamp) -> bool {
        let is_recent = self.last_sent_at.is_some_and(|at| now.millis_since(at) < prefill_ms);
        self.awaiting_response > 0 || is_recent
    }

    /// Records that a response has started, or that a request ended without one.
    pub(super) fn record_response_started(&mut self, now: Timestamp) {
        self.awaiting_response = self.awaiting_response.saturating_sub(1);
        self.silent_since = (self.awaiting_response > 0).then_some(now);
    }

    /// Records the time from sending a request to the first byte of its response.
    pub(super) fn record_first_byte(&mut self, ms: u64, now: Timestamp) {
        let weight = if self.first_byte_ms(now).is_some() { FIRST_BYTE_WEIGHT } else { 1.0 };
        self.first_byte_ms += weight * (ms as f64 - self.first_byte_ms);
        self.first_byte_until = Some(now.plus_millis(FIRST_BYTE_LIFETIME_MS));
    }

    /// Returns the mean time to the first byte of a response, in milliseconds. None if there was none recently.
    pub(super) fn first_byte_ms(&self, now: Timestamp) -> Option<u64> {
        self.first_byte_until.is_some_and(|until| until > now).then_some(self.first_byte_ms as u64)
    }

    /// Returns for how long the server has not started a response although a request waits for one, in milliseconds.
    pub(super) fn silent_ms(&self, now: Timestamp) -> u64 {
        self.silent_since.map_or(0, |since| now.millis_since(since))
    }

    /// Returns the number of this instance's requests whose response has started.
    pub(super) fn started_requests(&self) -> u32 {
        self.own_requests.saturating_sub(self.awaiting_response)
    }

    /// Blocks the server until `until`. `None` unblocks it.
    pub(super) fn set_blocked(&mut self, until: Option<Timestamp>) {
        self.blocked_until = until;
    }

    pub(super) fn is_blocked(&self, now: Timestamp) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    /// Returns whether the server may get requests, now or later.
    pub(super) fn is_available(&self) -> bool {
        !self.is_leaving && !self.is_drained
    }

    pub(super) fn is_eligible(&self, now: Timestamp) -> bool {
        self.is_available()
            && !self.is_blocked(now)
            && self.full_until.is_none_or(|until| until <= now)
            && self.health.is_usable(now)
    }
}
