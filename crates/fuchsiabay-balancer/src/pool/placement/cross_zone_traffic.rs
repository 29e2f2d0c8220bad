//! Which part of the requests leaves the zone, for logs and state dumps.

use fuchsiabay_base::Timestamp;

use super::CrossZoneReason;

/// The window over which the share of the requests that leave the zone is computed, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// The share of a window from which on requests count as leaving the zone, and below which they count as staying.
const LEAVING_SHARE: f64 = 0.1;
const STAYING_SHARE: f64 = 0.05;

/// The minimum time between two changes that are reported, in milliseconds. Demand that varies around a mark must not fill the
/// log.
const MIN_REPORT_INTERVAL_MS: u64 = 5_000;

/// This instance has begun or stopped to send requests to other zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneChange {
    /// Whether requests leave the zone now.
    pub is_leaving: bool,
    /// The most recent reason.
    pub reason: CrossZoneReason,
    /// The share of the requests that left the zone in the last window.
    pub share: f64,
}

/// Counts the requests that are sent to other zones.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::pool) struct CrossZoneTraffic {
    window_end: Timestamp,
    sent: u32,
    crossed: u32,
    /// The share of the last window that is complete.
    share: f64,
    reason: Option<CrossZoneReason>,
    is_leaving: bool,
    next_report_at: Timestamp,
}

impl CrossZoneTraffic {
    /// Records that a request is sent, and why it leaves the zone if it does.
    pub(in crate::pool) fn record_sent(&mut self, reason: Option<CrossZoneReason>, now: Timestamp) {
        self.advance(now);
        self.sent += 1;
        self.crossed += u32::from(reason.is_some());
        self.reason = reason.or(self.reason);
    }

    /// Returns the share of the requests that left the zone in the last complete window.
    pub(in crate::pool) const fn share(&self) -> f64 {
        self.share
    }

    /// Returns the most recent reason for which a request left the zone.
    pub(in crate::pool) const fn reason(&self) -> Option<CrossZoneReason> {
        self.reason
    }

    /// Returns whether this instance has begun or stopped to send requests to other zones since the last report.
    pub(in crate::pool) fn take_change(&mut self, now: Timestamp) -> Option<CrossZoneChange> {
        self.advance(now);
        let is_leaving =
            if self.is_leaving { self.share >= STAYING_SHARE } else { self.share >= LEAVING_SHARE };
        if is_leaving == self.is_leaving || now < self.next_report_at {
            return None;
        }
        self.is_leaving = is_leaving;
        self.next_report_at = now.plus_millis(MIN_REPORT_INTERVAL_MS);
        Some(CrossZoneChange { is_leaving, reason: self.reason?, share: self.share })
    }

    fn advance(&mut self, now: Timestamp) {
        if now < self.window_end {
            return;
        }
        let is_recent = now.millis_since(self.window_end) < WINDOW_MS;
        self.share = if is_recent { f64::from(self.crossed) / f64::from(self.sent.max(1)) } else { 0.0 };
        (self.sent, self.crossed) = (0, 0);
        self.window_end = now.plus_millis(WINDOW_MS);
    }
}
