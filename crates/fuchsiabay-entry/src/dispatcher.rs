//! Connects the request machine to the shared state of the entry.

use std::sync::Arc;

use fuchsiabay_base::{AttemptId, Timestamp, WriterId};
use fuchsiabay_routing::{Backoff, Dispatch, NoServer, QuarantineRecord, QuarantineStatus};
use fuchsiabay_runtime::unix_now;

use crate::{agent_link::Target, config_source::ConfigSource, entry::Entry, job::Job};

/// Places the attempts of one request.
pub(crate) struct Dispatcher<C> {
    pub(crate) entry: Arc<Entry<C>>,
    pub(crate) job: Job,
    rng: fastrand::Rng,
    backoff: Backoff,
}

impl<C: ConfigSource> Dispatcher<C> {
    pub(crate) fn new(entry: Arc<Entry<C>>, job: Job) -> Self {
        let rng = entry.rng();
        Self { entry, job, rng, backoff: Backoff::default() }
    }

    /// Publishes that the request caused no crash.
    pub(crate) fn clear_suspicion(&self) {
        self.record(QuarantineRecord::Cleared { fingerprint: self.job.fingerprint });
    }

    /// Applies a record here at once and queues it for the log, which carries it to the other entry instances.
    fn record(&self, record: QuarantineRecord) {
        self.entry.quarantine.apply(&record, unix_now());
        if self.entry.records_out.try_send(record).is_err() {
            log::warn!("quarantine: a record was dropped because too many wait for the log");
        }
    }
}

impl<C: ConfigSource> Dispatch for Dispatcher<C> {
    type Target = Target;

    fn id(target: &Target) -> &WriterId {
        target.id()
    }

    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Target, NoServer> {
        self.entry.router.pick(&self.job.pick_args(tried), now, &mut self.rng)
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.entry.next_attempt()
    }

    fn take_retry(&mut self, now: Timestamp) -> bool {
        self.entry.budget.take(now)
    }

    fn backoff(&mut self, now: Timestamp) -> Timestamp {
        self.backoff.next(now, &mut self.rng)
    }

    fn report_crash(&mut self, server: &WriterId, _now: Timestamp) -> QuarantineStatus {
        let preset = &self.job.config.preset;
        let now = unix_now();
        self.entry.counters.count_crash();
        log::warn!("quarantine: {server} crashed with request {} in flight", self.job.fingerprint);
        self.record(QuarantineRecord::Crash {
            fingerprint: self.job.fingerprint,
            server: server.clone(),
            expires_at: now.plus_millis(preset.quarantine_ms.0),
        });
        self.entry.quarantine.status(&self.job.fingerprint, preset.quarantine_crashes, now)
    }
}
