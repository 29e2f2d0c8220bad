//! An attempt that a server may be running.

use std::borrow::Cow;

use fuchsiabay_balancer::{Incarnation, ServerRecord, SurvivedRun, Suspect};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;

use super::routed_request::RoutedRequest;

/// The time from the first to the last event of a response at which the parts of its prompt are known not to crash the server, in
/// milliseconds. Time without events does not count, because the ranks of a group stall after one of them has crashed.
const SURVIVAL_MS: u64 = 500;

/// An attempt whose request was written, or is about to be. If it is dropped without a known end, it was given up, for example
/// because the caller left, and its server may crash under it later.
pub(super) struct RunningAttempt<'a> {
    request: &'a RoutedRequest<'a>,
    server: Incarnation,
    /// When the connection that it uses was opened.
    opened_at: Timestamp,
    begun_at: Timestamp,
    /// When the server last sent something.
    last_sign_at: Timestamp,
    /// The time from the first to the last event of the response, in milliseconds.
    progress_ms: u64,
    has_ended: bool,
}

impl<'a> RunningAttempt<'a> {
    pub(super) fn new(request: &'a RoutedRequest<'a>, server: &ServerRecord, opened_at: Timestamp) -> Self {
        let now = monotonic_now();
        Self {
            request,
            server: server.into(),
            opened_at,
            begun_at: now,
            last_sign_at: now,
            progress_ms: 0,
            has_ended: false,
        }
    }

    /// Records that the server has responded.
    pub(super) fn record_response(&mut self) {
        let now = monotonic_now();
        self.last_sign_at = now;
        self.request.gateway.crashes().record_response(&self.server, self.opened_at, self.begun_at, now);
    }

    /// Records the time from the first to the last event that was received, and when the last one was.
    pub(super) fn record_progress(&mut self, ms: u64, last_event_at: Option<Timestamp>) {
        self.progress_ms = ms;
        self.last_sign_at = last_event_at.map_or(self.last_sign_at, |at| at.max(self.last_sign_at));
    }

    /// Returns whether events were received for so long that the parts of the prompt do not crash servers.
    pub(super) const fn has_run_long(&self) -> bool {
        self.progress_ms >= SURVIVAL_MS
    }

    /// Ends an attempt that the server has answered or refused.
    pub(super) fn end_answered(mut self) {
        self.has_ended = true;
    }

    /// Ends an attempt of which nothing was written.
    pub(super) fn end_unsent(mut self) {
        self.has_ended = true;
    }

    /// Ends an attempt that the server has survived.
    pub(super) fn end_survived(mut self) {
        self.has_ended = true;
        self.record_survival(&self.request.suspects, monotonic_now());
    }

    fn record_survival(&self, suspects: &[Suspect], now: Timestamp) {
        let run =
            SurvivedRun { ms: now.millis_since(self.begun_at), servers: self.request.shard.server_count() };
        self.request.gateway.crashes().record_survival(suspects, run, now);
    }

    /// Ends an attempt whose connection was lost before the response was complete, so that the request may have crashed the server.
    pub(super) fn end_lost(mut self) {
        self.has_ended = true;
        let now = monotonic_now();
        let suspects = self.unfinished(now);
        self.request.gateway.crashes().record_loss(&self.server, &suspects, self.begun_at, now);
        self.report_suspected("connection lost", now);
    }

    fn give_up(&self) {
        let now = monotonic_now();
        let suspects = self.unfinished(now);
        let servers = self.request.shard.server_count();
        let mut crashes = self.request.gateway.crashes();
        let is_suspected =
            crashes.record_given_up(&self.server, &suspects, self.begun_at, self.last_sign_at, servers, now);
        drop(crashes);
        if is_suspected {
            self.request.shard.request_group_check();
            self.report_suspected("given up", now);
        }
    }

    /// Returns what may still crash the server, and records what it has survived: the parts of the prompt after some time. The
    /// request as a whole may crash it as long as it is not complete.
    fn unfinished(&self, now: Timestamp) -> Cow<'_, [Suspect]> {
        let suspects = self.request.suspects.as_slice();
        if !self.has_run_long() {
            return suspects.into();
        }
        let (requests, parts): (Vec<_>, Vec<_>) = suspects.iter().partition(|suspect| suspect.is_request());
        self.record_survival(&parts, now);
        requests.into()
    }

    fn report_suspected(&self, end: &'static str, now: Timestamp) {
        if self.request.gateway.crashes().tells_at_once(now) {
            self.request.gateway.loss_signal.send();
        }
        log::info!(
            request = self.request.request_id, server:% = self.server, end,
            silent_ms = now.millis_since(self.last_sign_at), prompt_parts = self.request.prompt_parts();
            "crash: suspected"
        );
    }
}

impl Drop for RunningAttempt<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.give_up();
        }
    }
}
