//! Connects the state machine of a request to the shared state of the entry instance.

use std::sync::Arc;

use fuchsiabay_base::{AttemptId, Timestamp, WriterId};
use fuchsiabay_routing::{Backoff, Dispatch, NoServer, QuarantineRecord, QuarantineStatus};
use fuchsiabay_runtime::unix_now;

use crate::{agent_connection::Target, config_source::ConfigSource, entry::Entry, request::Request};

/// Implements [`Dispatch`] for one request: picks servers, takes retries from the budget and records crashes.
pub(crate) struct Dispatcher<C> {
    pub(crate) entry: Arc<Entry<C>>,
    pub(crate) request: Request,
    rng: fastrand::Rng,
    backoff: Backoff,
}

impl<C: ConfigSource> Dispatcher<C> {
    pub(crate) fn new(entry: Arc<Entry<C>>, request: Request) -> Self {
        let rng = entry.fork_rng();
        Self { entry, request, rng, backoff: Backoff::default() }
    }

    /// Publishes a record that the request did not cause the crash it was suspected of.
    pub(crate) fn clear_suspicion(&self) {
        self.publish_record(QuarantineRecord::Cleared { fingerprint: self.request.fingerprint });
    }

    /// Applies a record locally at once and queues it for the log, through which the other entry instances receive it.
    fn publish_record(&self, record: QuarantineRecord) {
        self.entry.quarantine.apply(&record, unix_now());
        if self.entry.record_sender.try_send(record).is_err() {
            log::warn!("quarantine: the queue for the log is full; dropping a record");
        }
    }
}

impl<C: ConfigSource> Dispatch for Dispatcher<C> {
    type Target = Target;

    fn id(target: &Target) -> &WriterId {
        target.id()
    }

    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Target, NoServer> {
        self.entry.router.pick(&self.request.pick_args(tried), now, &mut self.rng)
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.entry.next_attempt_id()
    }

    fn take_retry(&mut self, now: Timestamp) -> bool {
        self.entry.retry_budget.try_take(now)
    }

    fn backoff(&mut self, now: Timestamp) -> Timestamp {
        self.backoff.next(now, &mut self.rng)
    }

    fn report_crash(&mut self, server: &WriterId, _now: Timestamp) -> QuarantineStatus {
        let preset = &self.request.config.preset;
        let now = unix_now();
        self.entry.counters.count_crash();
        log::warn!("quarantine: {server} crashed with request {} in flight", self.request.fingerprint);
        self.publish_record(QuarantineRecord::Crash {
            fingerprint: self.request.fingerprint,
            server: server.clone(),
            expires_at: now.plus_millis(preset.quarantine_ms.0),
        });
        self.entry.quarantine.status(&self.request.fingerprint, preset.quarantine_crashes, now)
    }
}
