//! Freshness of the configuration that a process serves under.

use std::collections::BTreeMap;

use fuchsiabay_base::{InstanceId, Timestamp, is_mechanism_enabled};

use crate::Readers;

/// How long the configuration is fresh after a confirmation, in milliseconds. A process without a later
/// confirmation serves no new requests.
pub const CONFIG_LIFETIME_MS: u64 = 6_000;

/// How long a reader reports an outage of the log after the start of a failed read, in milliseconds.
pub const LOG_FAILURE_LIFETIME_MS: u64 = 2_000;

/// How long a reader's report of an outage is valid after the pull that it responds to, in milliseconds. Together with
/// the age of the failed read behind the report, this is at most [`CONFIG_LIFETIME_MS`], because a change may be
/// accepted right after that read.
pub const OUTAGE_REPORT_LIFETIME_MS: u64 = CONFIG_LIFETIME_MS - LOG_FAILURE_LIFETIME_MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReaderStatus {
    /// The reader has not responded yet or is unreachable, so it may have read a change.
    Unknown,
    /// The reader can read the log.
    LogUp,
    /// The reader cannot read the log. The report is valid until `until`.
    LogDown { until: Timestamp },
}

/// Tracks how long the configuration of one process is fresh, on that process's monotonic clock.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: InstanceId,
    /// The time until which the last confirmation is valid. The time of the confirmation itself is not stored,
    /// because it may lie before the epoch of a clock that starts with the process.
    fresh_until: Option<Timestamp>,
    log_failed_at: Option<Timestamp>,
    readers: BTreeMap<InstanceId, ReaderStatus>,
}

impl Freshness {
    /// Creates the state of the process `own` before the first confirmation.
    pub fn new(own: InstanceId) -> Self {
        Self { own, fresh_until: None, log_failed_at: None, readers: BTreeMap::new() }
    }

    /// Confirms the configuration by the response to a request sent at `requested_at`. `age_ms` is the age stated in
    /// the response, or zero for a read up to the end of the log. Counting from the time of the request ensures that
    /// a delayed response never looks fresher than it is.
    pub fn confirm(&mut self, requested_at: Timestamp, age_ms: u64) {
        let Some(left_ms) = CONFIG_LIFETIME_MS.checked_sub(age_ms) else {
            return;
        };
        self.fresh_until = self.fresh_until.max(Some(requested_at.plus_millis(left_ms)));
    }

    /// Handles a read of this process that began at `requested_at` and reached the end of the log.
    pub fn log_read(&mut self, requested_at: Timestamp) {
        self.log_failed_at = self.log_failed_at.filter(|failed_at| *failed_at > requested_at);
        self.confirm(requested_at, 0);
    }

    /// Handles a failed read of the log by this process that began at `requested_at`.
    pub fn log_failed(&mut self, requested_at: Timestamp) {
        self.log_failed_at = self.log_failed_at.max(Some(requested_at));
    }

    /// Replaces the set of readers. The reports of the remaining readers are kept.
    pub fn set_readers(&mut self, readers: &Readers) {
        let old = std::mem::take(&mut self.readers);
        let status = |id: &InstanceId| old.get(id).copied().unwrap_or(ReaderStatus::Unknown);
        self.readers = readers.iter().map(|id| (id.clone(), status(id))).collect();
    }

    /// Handles the response of a reader to a pull sent at `requested_at`.
    pub fn reader_responded(&mut self, reader: &InstanceId, requested_at: Timestamp, log_down: bool) {
        let until = requested_at.plus_millis(OUTAGE_REPORT_LIFETIME_MS);
        let new_status = if log_down { ReaderStatus::LogDown { until } } else { ReaderStatus::LogUp };
        if let Some(status) = self.readers.get_mut(reader) {
            *status = new_status;
        }
    }

    /// Handles a reader that did not respond. It may have read a change that this process cannot see.
    pub fn reader_unreachable(&mut self, reader: &InstanceId) {
        if let Some(status) = self.readers.get_mut(reader) {
            *status = ReaderStatus::Unknown;
        }
    }

    /// Returns whether the process may serve new requests.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        if !is_mechanism_enabled("freshness-deadline") {
            return true;
        }
        self.fresh_until().is_some_and(|until| now < until) || self.is_log_outage(now)
    }

    /// Returns the time until which the last confirmation is valid.
    pub fn fresh_until(&self) -> Option<Timestamp> {
        self.fresh_until
    }

    /// Returns the age of the last confirmation, for the response to a neighbour.
    ///
    /// An outage of the log for every reader is a confirmation too, because no change can be accepted meanwhile. Its
    /// age is that of the oldest failed read behind it. It lets neighbours that cannot reach every reader continue to
    /// serve.
    pub fn age_ms(&self, now: Timestamp) -> Option<u64> {
        let outage_until = if self.is_log_outage(now) { self.outage_until() } else { None };
        let until = self.fresh_until.max(outage_until)?;
        Some((now.millis_since(until) + CONFIG_LIFETIME_MS).saturating_sub(until.millis_since(now)))
    }

    /// Returns whether this process recently failed to read the log, for the response to a neighbour.
    pub fn is_log_down(&self, now: Timestamp) -> bool {
        self.log_failed_at.is_some_and(|at| now < at.plus_millis(LOG_FAILURE_LIFETIME_MS))
    }

    /// Returns whether the log is down for every reader: the readers of all zones report an outage, and none is
    /// unreachable.
    pub fn is_log_outage(&self, now: Timestamp) -> bool {
        let is_down = |(id, status): (&InstanceId, &ReaderStatus)| match status {
            _ if *id == self.own => self.is_log_down(now),
            ReaderStatus::LogDown { until } => now < *until,
            ReaderStatus::Unknown => !is_mechanism_enabled("outage-needs-every-reader"),
            ReaderStatus::LogUp => false,
        };
        !self.readers.is_empty() && self.readers.iter().all(is_down)
    }

    /// Returns the time until which the oldest failed read is valid as a confirmation.
    fn outage_until(&self) -> Option<Timestamp> {
        let until = |(id, status): (&InstanceId, &ReaderStatus)| match status {
            _ if *id == self.own => self.log_failed_at.map(|at| at.plus_millis(CONFIG_LIFETIME_MS)),
            ReaderStatus::LogDown { until } => Some(*until),
            ReaderStatus::Unknown | ReaderStatus::LogUp => None,
        };
        self.readers.iter().filter_map(until).min()
    }
}
