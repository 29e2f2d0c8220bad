//! The load of one backend server as an entry instance knows it.

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};
use fuchsiabay_wire::LoadReport;

/// The last load report of a backend server, and the attempts that this instance has sent to it since.
///
/// Reports lag behind. If the attempts sent since the report did not count, every request between two reports would go
/// to the same server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The last report.
    pub report: LoadReport,
    /// When the last report arrived.
    pub reported_at: Timestamp,
    /// The number of attempts sent since the last report.
    pub sent_attempts: u32,
    /// The estimated tokens of the attempts sent since the last report.
    pub sent_tokens: u64,
    /// No attempt is sent before this time, because the server refused or failed one.
    pub skip_until: Timestamp,
    /// The smoothed time between two tokens in microseconds, or zero before the first measurement.
    pub inter_token_us: u64,
    /// Whether the time between tokens is far above that of the other servers of the service.
    pub straggler: bool,
    /// Whether a connection to the agent is open.
    pub connected: bool,
}

/// The reciprocal of the weight of a new measurement of the time between tokens.
const INTER_TOKEN_SMOOTHING: u64 = 8;

impl Load {
    /// Returns whether an attempt may be sent at `now`.
    pub(crate) fn accepts(&self, now: Timestamp) -> bool {
        self.connected
            && !(self.report.draining && is_mechanism_enabled("skip-draining"))
            && self.skip_until <= now
    }

    /// Returns the predicted wait of a new attempt in milliseconds: the reported wait, plus the time to process the
    /// attempts sent since the report once no slot is free.
    pub(crate) fn wait_ms(&self) -> u64 {
        let slots = u64::from(self.report.slots.max(1));
        let taken = u64::from(self.report.running) + u64::from(self.sent_attempts);
        if taken < slots {
            return self.report.predicted_wait_ms;
        }
        self.report.predicted_wait_ms + self.sent_tokens * self.inter_token_us / slots / 1000
    }

    /// Returns the number of waiting and running attempts, including those sent since the report.
    pub(crate) fn attempts(&self) -> u64 {
        u64::from(self.report.queued) + u64::from(self.report.running) + u64::from(self.sent_attempts)
    }

    /// Returns a sort key; the server with the smaller key is preferred.
    pub(crate) fn sort_key(&self) -> (bool, u64, u64, u64) {
        let slots = u64::from(self.report.slots.max(1));
        let tokens = self.report.outstanding_tokens + self.sent_tokens;
        (self.straggler, self.wait_ms(), tokens / slots, self.attempts() * 1000 / slots)
    }

    pub(crate) fn apply(&mut self, report: LoadReport, now: Timestamp) {
        self.report = report;
        self.reported_at = now;
        self.sent_attempts = 0;
        self.sent_tokens = 0;
    }

    pub(crate) fn record_inter_token_us(&mut self, inter_token_us: u64) {
        self.inter_token_us = match self.inter_token_us {
            0 => inter_token_us,
            old => (old * (INTER_TOKEN_SMOOTHING - 1) + inter_token_us) / INTER_TOKEN_SMOOTHING,
        };
    }
}
