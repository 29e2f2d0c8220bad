//! Attempts that were given up while their servers may still have run them.

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;

use super::{Incarnation, SurvivedRun, Suspect};

/// The time for which a server may still run a request after its attempt was given up, in milliseconds. Most servers drop a
/// request when its connection closes.
const RUNS_ON_MS: u64 = 1_500;

/// The time for which attempts are kept, in milliseconds. A server that has ended silently is removed from the directory, or is
/// back, within this time.
const EXPIRY_MS: u64 = 10_000;

/// The maximum number of attempts that are kept for each server. The oldest ones are dropped.
const MAX_ATTEMPTS: usize = 256;

/// An attempt that was given up.
#[derive(Clone, Debug)]
pub(super) struct GivenUpAttempt {
    pub(super) suspects: Box<[Suspect]>,
    /// How long it had run, and the number of servers among which its server was chosen.
    pub(super) run: SurvivedRun,
    pub(super) at: Timestamp,
}

impl GivenUpAttempt {
    fn begun_at(&self) -> Timestamp {
        self.at.minus_millis(self.run.ms)
    }

    /// Returns whether its server did not run it any more at `at`.
    fn has_ended_before(&self, at: Timestamp) -> bool {
        self.at.plus_millis(RUNS_ON_MS) < at
    }

    /// Returns the run of an attempt that its server survived, with the time for which it may have run afterwards.
    fn into_survived(self) -> (Box<[Suspect]>, SurvivedRun) {
        (self.suspects, SurvivedRun { ms: self.run.ms + RUNS_ON_MS, ..self.run })
    }
}

/// The attempts at each server that were given up recently and of which it is not known whether the server survived them.
#[derive(Clone, Debug, Default)]
pub(super) struct GivenUpAttempts(BTreeMap<Incarnation, Vec<GivenUpAttempt>>);

impl GivenUpAttempts {
    pub(super) fn record(&mut self, server: &Incarnation, attempt: GivenUpAttempt) {
        let attempts = self.0.entry(server.clone()).or_default();
        if attempts.len() >= MAX_ATTEMPTS {
            attempts.remove(0);
        }
        attempts.push(attempt);
    }

    /// Records that a server lived at `alive_at`, so that it survived what it did not run any more. Returns that.
    pub(super) fn record_alive(
        &mut self,
        server: &Incarnation,
        alive_at: Timestamp,
    ) -> Vec<(Box<[Suspect]>, SurvivedRun)> {
        self.take_survived(server, |attempt| attempt.has_ended_before(alive_at))
    }

    /// Records that a request sent at `sent_at` was answered on a connection opened at `opened_at`. The process that answered
    /// survived the attempts that it did not run any more and that began later than the connection. Returns them.
    pub(super) fn record_response(
        &mut self,
        server: &Incarnation,
        opened_at: Timestamp,
        sent_at: Timestamp,
    ) -> Vec<(Box<[Suspect]>, SurvivedRun)> {
        self.take_survived(server, |attempt| {
            opened_at <= attempt.begun_at() && attempt.has_ended_before(sent_at)
        })
    }

    fn take_survived(
        &mut self,
        server: &Incarnation,
        has_survived: impl Fn(&GivenUpAttempt) -> bool,
    ) -> Vec<(Box<[Suspect]>, SurvivedRun)> {
        let Some(attempts) = self.0.get_mut(server) else {
            return Vec::new();
        };
        let survived = attempts.extract_if(.., |attempt| has_survived(attempt));
        survived.map(GivenUpAttempt::into_survived).collect()
    }

    /// Takes the suspects that a server may have run when it lost connections at `lost_at`.
    pub(super) fn take_running(
        &mut self,
        server: &Incarnation,
        lost_at: Timestamp,
    ) -> impl Iterator<Item = Box<[Suspect]>> {
        self.take(server)
            .filter(move |attempt| attempt.at.plus_millis(RUNS_ON_MS) >= lost_at)
            .map(into_suspects)
    }

    /// Takes the suspects that a server may have run when it ended, at an unknown time.
    pub(super) fn take_all(&mut self, server: &Incarnation) -> impl Iterator<Item = Box<[Suspect]>> {
        self.take(server).map(into_suspects)
    }

    fn take(&mut self, server: &Incarnation) -> std::vec::IntoIter<GivenUpAttempt> {
        self.0.remove(server).unwrap_or_default().into_iter()
    }

    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        self.0.retain(|_, attempts| {
            attempts.retain(|attempt| attempt.at.plus_millis(EXPIRY_MS) > now);
            !attempts.is_empty()
        });
    }
}

fn into_suspects(attempt: GivenUpAttempt) -> Box<[Suspect]> {
    attempt.suspects
}
