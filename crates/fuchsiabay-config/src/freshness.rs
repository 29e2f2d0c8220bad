//! Whether a process may still serve under its configuration.

use std::collections::BTreeMap;

use fuchsiabay_base::{InstanceId, Timestamp, is_mechanism_enabled};

use crate::Readers;

/// A process serves no new request when its last proof is older than this, in milliseconds.
pub const CONFIG_LIFETIME_MS: u64 = 6_000;

/// A reader reports an outage only on a read of the log that began within this many milliseconds.
pub const LOG_FAILURE_LIFETIME_MS: u64 = 2_000;

/// How long a reader's report of an outage counts from the moment it was asked for, in milliseconds. Together
/// with the age of the failed read behind the report it stays within [`CONFIG_LIFETIME_MS`], because a change may be
/// accepted right after that read.
pub const OUTAGE_REPORT_LIFETIME_MS: u64 = CONFIG_LIFETIME_MS - LOG_FAILURE_LIFETIME_MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Report {
    /// Not asked yet, or unreachable: it may know of a change.
    Silent,
    /// It can read the log.
    LogUp,
    /// It cannot read the log.
    LogDown { until: Timestamp },
}

/// Tracks how long the configuration of one process counts as current, on that process's monotonic clock.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: InstanceId,
    /// Until when the last proof counts. The deadline is stored and not the time of the proof, which may lie before
    /// the epoch of a clock that starts with the process.
    fresh_until: Option<Timestamp>,
    log_failed_at: Option<Timestamp>,
    readers: BTreeMap<InstanceId, Report>,
}

impl Freshness {
    /// Creates the state of the process `own` before its first proof.
    pub fn new(own: InstanceId) -> Self {
        Self { own, fresh_until: None, log_failed_at: None, readers: BTreeMap::new() }
    }

    /// Takes an answer as proof. `asked_at` is when the question was sent, so that a delayed answer never looks
    /// fresher than it is; `age_ms` is the age that the answer states, zero for a read of the log's end.
    pub fn confirm(&mut self, asked_at: Timestamp, age_ms: u64) {
        let Some(left_ms) = CONFIG_LIFETIME_MS.checked_sub(age_ms) else {
            return;
        };
        self.fresh_until = self.fresh_until.max(Some(asked_at.plus_millis(left_ms)));
    }

    /// Notes that this process read the log to its end, in a read that began at `asked_at`.
    pub fn log_read(&mut self, asked_at: Timestamp) {
        self.log_failed_at = self.log_failed_at.filter(|failed_at| *failed_at > asked_at);
        self.confirm(asked_at, 0);
    }

    /// Notes that this process failed to read the log, in a read that began at `asked_at`.
    pub fn log_failed(&mut self, asked_at: Timestamp) {
        self.log_failed_at = self.log_failed_at.max(Some(asked_at));
    }

    /// Replaces the set of readers. What the remaining ones reported is kept.
    pub fn set_readers(&mut self, readers: &Readers) {
        let old = std::mem::take(&mut self.readers);
        let report = |id: &InstanceId| old.get(id).copied().unwrap_or(Report::Silent);
        self.readers = readers.iter().map(|id| (id.clone(), report(id))).collect();
    }

    /// Notes the answer of a reader to a pull sent at `asked_at`.
    pub fn reader_answered(&mut self, reader: &InstanceId, asked_at: Timestamp, log_down: bool) {
        let until = asked_at.plus_millis(OUTAGE_REPORT_LIFETIME_MS);
        let report = if log_down { Report::LogDown { until } } else { Report::LogUp };
        if let Some(slot) = self.readers.get_mut(reader) {
            *slot = report;
        }
    }

    /// Notes that a reader did not answer. It may have read a change that this process cannot see.
    pub fn reader_unreachable(&mut self, reader: &InstanceId) {
        if let Some(slot) = self.readers.get_mut(reader) {
            *slot = Report::Silent;
        }
    }

    /// Returns whether the process may serve new requests.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        if !is_mechanism_enabled("freshness-deadline") {
            return true;
        }
        self.fresh_until().is_some_and(|deadline| now < deadline) || self.is_log_outage(now)
    }

    /// Returns until when the last proof counts.
    pub fn fresh_until(&self) -> Option<Timestamp> {
        self.fresh_until
    }

    /// Returns the age of the last proof, for the answer to a neighbour. An outage for everybody is a proof too, dated
    /// by the oldest failed read behind it, so that neighbours that cannot ask every reader go on serving.
    pub fn age_ms(&self, now: Timestamp) -> Option<u64> {
        let outage_until = if self.is_log_outage(now) { self.outage_until() } else { None };
        let until = self.fresh_until.max(outage_until)?;
        Some((now.millis_since(until) + CONFIG_LIFETIME_MS).saturating_sub(until.millis_since(now)))
    }

    /// Returns whether this process's own last read of the log failed, for the answer to a neighbour.
    pub fn is_log_down(&self, now: Timestamp) -> bool {
        self.log_failed_at.is_some_and(|at| now < at.plus_millis(LOG_FAILURE_LIFETIME_MS))
    }

    /// Returns whether the log is down for everybody: every reader of every zone says so and none is silent.
    pub fn is_log_outage(&self, now: Timestamp) -> bool {
        let down = |(id, report): (&InstanceId, &Report)| match report {
            _ if *id == self.own => self.is_log_down(now),
            Report::LogDown { until } => now < *until,
            Report::Silent => !is_mechanism_enabled("outage-needs-every-reader"),
            Report::LogUp => false,
        };
        !self.readers.is_empty() && self.readers.iter().all(down)
    }

    /// Returns until when the oldest failed read counts as a proof.
    fn outage_until(&self) -> Option<Timestamp> {
        let until = |(id, report): (&InstanceId, &Report)| match report {
            _ if *id == self.own => self.log_failed_at.map(|at| at.plus_millis(CONFIG_LIFETIME_MS)),
            Report::LogDown { until } => Some(*until),
            Report::Silent | Report::LogUp => None,
        };
        self.readers.iter().filter_map(until).min()
    }
}
