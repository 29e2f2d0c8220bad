//! Operations that change the ledger.

use std::net::SocketAddr;

use fuchsiabay_base::{Fingerprint, Timestamp};

use super::{
    CrashEvent, CrashLedger, CrashReport, Incarnation, ReportedSuspect, RequestOccupancy, SurvivedRun,
    Suspect,
    crash::{Crash, MAX_MESSAGE_MS},
    given_up::GivenUpAttempt,
    occupancies::{MAX_TOLD, Source},
    verdicts::{Verdicts, contested_requests},
};

/// The number of survivals that show that a part of prompts is harmless. One may be mistaken, for example if this instance was
/// paused between the first event of a stream and the crash.
const ENOUGH_SURVIVALS: u32 = 3;

/// The maximum number of crashes that are kept. When a group is cut off, all its ranks look like crashed ones for a moment.
const MAX_CRASHES: usize = 1_024;

/// How long it is remembered when a server was last known to live, or disappeared, in milliseconds. Attempts at it end, and
/// instances tell each other of its loss, within this time.
const SERVER_STATE_MS: u64 = 60_000;

/// The time without any sign of a server after which an attempt that is given up counts as lost, in milliseconds. The ranks of
/// a group stall for as long after one of them has crashed.
const SILENCE_MS: u64 = 1_500;

impl CrashLedger {
    /// Records that the connection to a server was lost while it ran a request with `suspects` that was sent at `begun_at`.
    pub fn record_loss(
        &mut self,
        server: &Incarnation,
        suspects: &[Suspect],
        begun_at: Timestamp,
        now: Timestamp,
    ) {
        self.remove_expired(now);
        let crash = self.crashes.entry(server.clone()).or_insert_with(|| Crash::new(begun_at, now));
        if crash.is_refuted {
            *crash = Crash::new(begun_at, now);
        }
        crash.add_loss(begun_at, now);
        let given_up = self.given_up.take_running(server, now);
        let dropped = crash.add(suspects) + given_up.map(|suspects| crash.add(&suspects)).sum::<usize>();
        self.report_dropped(server, dropped);
        self.limit_crashes();
        if self.tells_at_once(now) {
            self.verdicts.request_evaluation_at(now);
        }
        self.verdicts.request_evaluation(now);
    }

    /// Records that an attempt that began at `begun_at` was given up, and that the server last sent something at `last_sign_at`. The
    /// server was chosen among `servers`. Returns whether it is suspected to have crashed.
    pub fn record_given_up(
        &mut self,
        server: &Incarnation,
        suspects: &[Suspect],
        begun_at: Timestamp,
        last_sign_at: Timestamp,
        servers: usize,
        now: Timestamp,
    ) -> bool {
        let ended_under_it = |crash: &Crash| !crash.is_refuted && crash.has_lost_since(begun_at);
        let is_suspected = now.millis_since(last_sign_at) >= SILENCE_MS
            || self.disappeared.contains_key(server)
            || self.crashes.get(server).is_some_and(ended_under_it);
        if is_suspected {
            self.record_loss(server, suspects, begun_at, now);
        } else {
            self.remove_expired(now);
            let run = SurvivedRun { ms: now.millis_since(begun_at), servers };
            self.given_up.record(server, GivenUpAttempt { suspects: suspects.into(), run, at: now });
        }
        is_suspected
    }

    /// Records that the directory no longer lists a server that did not state that it leaves. What was given up since it was last
    /// known to live may have crashed it.
    pub fn record_disappearance(&mut self, server: &Incarnation, now: Timestamp) {
        self.remove_expired(now);
        self.disappeared.insert(server.clone(), now);
        self.record_unreachable(server, now);
    }

    /// Records that a server could not be reached. What was given up since it was last known to live may have crashed it.
    pub fn record_unreachable(&mut self, server: &Incarnation, now: Timestamp) {
        let given_up: Vec<_> = self.given_up.take_all(server).collect();
        given_up.iter().for_each(|suspects| self.record_loss(server, suspects, now, now));
    }

    /// Records that a request sent at `sent_at` was answered on a connection opened at `opened_at`. The response does not state
    /// which process sent it, so it shows that the server did not crash only if the connection is older than the loss.
    pub fn record_response(
        &mut self,
        server: &Incarnation,
        opened_at: Timestamp,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let survived = self.given_up.record_response(server, opened_at, sent_at);
        self.record_time(&survived, now);
        let crash = self.crashes.get(server);
        if crash.is_some_and(|crash| crash.is_same_process(opened_at) && crash.is_refuted_by(sent_at)) {
            self.record_alive(server, sent_at, now);
        }
    }

    /// Records that the process `server` answered a question of `asked_at` and stated which process it is.
    pub fn record_report(&mut self, server: &Incarnation, asked_at: Timestamp, now: Timestamp) {
        self.record_alive(server, asked_at, now);
    }

    fn record_alive(&mut self, server: &Incarnation, at: Timestamp, now: Timestamp) {
        let alive_at = self.alive_at.entry(server.clone()).or_insert(at);
        *alive_at = at.max(*alive_at);
        let survived = self.given_up.record_alive(server, at);
        self.record_time(&survived, now);
        self.disappeared.retain(|other, since| other != server || *since > at);
        let Some(crash) = self.crashes.get_mut(server).filter(|crash| crash.is_refuted_by(at)) else {
            return;
        };
        let suspects = crash.suspects.len();
        let is_newly_proven = crash.record_alive(at);
        let is_newly_refuted = crash.refute();
        if is_newly_refuted {
            self.events.push(CrashEvent::Refuted { incarnation: server.clone(), suspects });
        }
        if is_newly_proven || is_newly_refuted {
            self.verdicts.request_evaluation(now);
        }
    }

    /// Records that a server ran a request with `suspects` and did not crash.
    pub fn record_survival(&mut self, suspects: &[Suspect], run: SurvivedRun, now: Timestamp) {
        for suspect in suspects {
            self.survivals.record(suspect.fingerprint, run, now);
        }
        let parts = suspects.iter().filter(|suspect| !suspect.is_request());
        let is_open = |crash: &Crash| parts.clone().any(|part| crash.is_suspect(&part.fingerprint));
        if self.crashes.values().any(is_open) {
            self.verdicts.request_evaluation(now);
        }
    }

    /// Records for how long servers ran whole requests, or may have, without crashing.
    fn record_time(&mut self, survived: &[(Box<[Suspect]>, SurvivedRun)], now: Timestamp) {
        for (suspects, run) in survived {
            let requests = suspects.iter().filter(|suspect| suspect.is_request());
            for request in requests {
                self.survivals.record_time(request.fingerprint, *run, now);
            }
        }
    }

    /// Clears the suspects that servers survived, and determines again what is quarantined if that may have changed.
    pub fn advance(&mut self, now: Timestamp) {
        if !self.verdicts.is_evaluation_due(now) {
            return;
        }
        let is_single = self.tells_at_once(now);
        for crash in self.crashes.values_mut() {
            crash.record_survivals(ENOUGH_SURVIVALS, |fingerprint| self.survivals.count(fingerprint, now));
            if crash.publish(self.revision + 1, is_single, now) {
                self.revision += 1;
            }
        }
        for (incarnation, crash) in &mut self.crashes {
            if crash.count(now) {
                let (incarnation, suspects) = (incarnation.clone(), crash.suspects.len());
                self.events.push(CrashEvent::Counted { incarnation, suspects });
            }
        }
        self.contested = contested_requests(self.crashes.values(), MAX_TOLD);
        for own in self.own_occupancies(now) {
            self.occupancies.record(Source::Own, own, now);
        }
        let occupancy = |fingerprint: &Fingerprint| self.occupancies.total(fingerprint);
        let verdicts = Verdicts::of(self.crashes.values(), occupancy, &self.verdicts, now);
        verdicts.events_since(&self.verdicts, now).for_each(|event| self.events.push(event));
        self.verdicts = verdicts;
    }

    /// Records which part of the servers runs requests for the instance at `from`.
    pub fn merge_occupancies(&mut self, from: SocketAddr, told: &[RequestOccupancy], now: Timestamp) {
        for one in told.iter().take(MAX_TOLD) {
            if self.occupancies.record(Source::Instance(from), *one, now) {
                self.verdicts.request_evaluation(now);
            }
        }
    }

    /// Records what another instance told of a crash.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) {
        self.remove_expired(now);
        let server = &report.incarnation;
        if let Some(age_ms) = report.alive_age_ms {
            self.record_alive(server, now.minus_millis(age_ms + MAX_MESSAGE_MS), now);
        }
        if report.is_refuted {
            return;
        }
        let lost_at = now.minus_millis(report.age_ms);
        let is_new = !self.crashes.contains_key(server);
        let crash = self.crashes.entry(server.clone()).or_insert_with(|| Crash::new(lost_at, lost_at));
        if crash.is_refuted {
            *crash = Crash::new(lost_at, lost_at);
        }
        crash.add_loss(lost_at, lost_at);
        let is_dropped = |suspect: &&ReportedSuspect| !crash.merge(suspect.fingerprint, (*suspect).into());
        let dropped = report.suspects.iter().filter(is_dropped).count();
        // An instance that has just started is told of crashes that count already.
        if is_new && crash.counts(now) {
            self.verdicts.request_evaluation_at(now);
        }
        if let Some(alive_at) = self.alive_at.get(server).copied().filter(|at| crash.is_refuted_by(*at)) {
            crash.request_publication();
            self.record_alive(server, alive_at, now);
        }
        self.report_dropped(server, dropped);
        self.limit_crashes();
        self.verdicts.request_evaluation(now);
    }

    /// Returns what the ledger has learned since the last call.
    pub fn take_events(&mut self) -> Vec<CrashEvent> {
        self.events.take()
    }

    fn report_dropped(&mut self, server: &Incarnation, suspects: usize) {
        if suspects > 0 {
            self.events.push(CrashEvent::Dropped { incarnation: server.clone(), suspects });
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.crashes.retain(|_, crash| crash.expires_at() > now);
        self.given_up.remove_expired(now);
        self.occupancies.remove_expired(now);
        self.alive_at.retain(|_, alive_at| alive_at.plus_millis(SERVER_STATE_MS) > now);
        self.disappeared.retain(|_, at| at.plus_millis(SERVER_STATE_MS) > now);
    }

    /// Drops refuted losses first, then the oldest crashes.
    fn limit_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| (!crash.is_refuted, crash.lost_at));
            let Some(server) = oldest.map(|(server, _)| server.clone()) else {
                return;
            };
            self.crashes.remove(&server);
        }
    }
}
