//! What can be asked of a pool.

use std::sync::Arc;

use fuchsiabay_base::{InstanceId, Timestamp};

use super::{Grant, Job, Pool, PoolSnapshot, ServerSnapshot, member::Member, waiting::latest_start_of};
use crate::ServerRecord;

/// The largest part of the places that is kept from late requests. Refusing while half of the places are free helps nobody.
const MAX_RESERVED: f64 = 0.5;

/// The least part of the ends that late requests are predicted to profit from.
const MIN_SLACK: f64 = 0.1;

/// The least rate of ends that a prediction assumes, in a second.
const MIN_RATE_PER_S: f64 = 0.1;

/// How much slower than the fastest rank a rank may be to get requests.
const SLOW_RANK: f64 = 1.8;

/// The time without any begun response after which a server is passed over, in milliseconds. It is three times what a first
/// event takes when every place is taken.
const STALL_MS: u64 = 700;

/// The time within which another server must have begun a response, in milliseconds. If none does, the whole service is
/// slow, and passing a server over helps nobody.
const OTHERS_ANSWER_MS: u64 = 300;

/// The part of what a plain request has left that it may wait, as a divisor.
const WAIT_DIVISOR: u64 = 2;

impl Pool {
    /// Returns the state for a dump.
    pub fn snapshot(&self, now: Timestamp) -> PoolSnapshot {
        let server = |member: &Member| ServerSnapshot {
            id: member.record.id.clone(),
            own: member.own,
            others: member.foreign_load(now),
            ejected_until: member.health.ejected_until(),
            is_leaving: member.is_leaving,
        };
        PoolSnapshot { queued: self.waiting.len(), servers: self.members.iter().map(server).collect() }
    }

    /// Returns this instance's requests at each server, for its neighbours.
    pub fn own_loads(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.members.iter().filter(|member| member.own > 0).map(|member| (&member.record.id, member.own))
    }

    /// Returns the servers that are not leaving.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.members.iter().filter(|member| !member.is_leaving).map(|member| &member.record)
    }

    /// Returns whether a server is blocked.
    pub fn has_blocked_server(&self, now: Timestamp) -> bool {
        self.members.iter().any(|member| !member.is_leaving && member.is_blocked(now))
    }

    /// Returns whether every server waits for a rank that cannot be reached.
    ///
    /// Callers leave after some seconds without a response, and a rank that is gone often takes longer. Whoever has not been
    /// refused yet may come back when it is there.
    pub(super) fn waits_for_rank(&self, now: Timestamp) -> bool {
        let mut present = self.members.iter().filter(|member| !member.is_leaving);
        self.lacks_ranks && present.all(|member| member.is_blocked(now))
    }

    /// Returns the places of the servers that are not leaving, and how many of them are taken.
    pub fn places(&self, now: Timestamp) -> (u32, u32) {
        let present = || self.members.iter().filter(|member| !member.is_leaving);
        let all = present().map(|member| member.record.slots).sum();
        let taken = present().map(|member| member.load(now).min(member.record.slots)).sum();
        (all, taken)
    }

    /// Returns a place for `job`, if one is free.
    pub(super) fn find_place(&self, job: &Job, now: Timestamp) -> Option<(usize, Grant)> {
        if !job.is_resumption && self.is_late(job, now) && !self.has_slack(now) {
            return None;
        }
        let fits = |member: &&(usize, &Member)| {
            let member = member.1;
            member.is_choosable(now)
                && !self.slows_its_group(member)
                && !self.is_member_stalled(member, now)
                && member.load(now) < self.place_limit(member)
                && !is_excluded(member, job)
        };
        let best = self.members.iter().enumerate().filter(|entry| fits(&entry)).min_by_key(|(_, member)| {
            let remote = member.record.zone != self.zone;
            let cost = f64::from(member.load(now) + 1) * member.pace;
            ((cost * 100.0) as u64, member.own_tokens, remote, fastrand::u32(..))
        });
        let (i, member) = best?;
        let grant = Grant {
            server: member.record.clone(),
            taken_at: now,
            tokens: job.tokens,
            load: member.load(now) + 1,
            load_age_ms: member.report_age_ms(now),
        };
        Some((i, grant))
    }

    /// Returns whether a place is free for `job`.
    pub fn has_free_slot(&self, job: &Job, now: Timestamp) -> bool {
        self.find_place(job, now).is_some()
    }

    /// Returns how much slower than usual a server works. 1 is usual.
    pub fn pace(&self, server: &InstanceId) -> f64 {
        self.members.iter().find(|member| member.record.id == *server).map_or(1.0, |member| member.pace)
    }

    /// Returns whether a server has gone silent while others begin responses.
    pub fn is_stalled(&self, server: &InstanceId, now: Timestamp) -> bool {
        let member = self.members.iter().find(|member| member.record.id == *server);
        member.is_some_and(|member| self.is_member_stalled(member, now))
    }

    /// Returns whether requests at the server would slow every other one: it is a rank that is much slower than the fastest.
    fn slows_its_group(&self, member: &Member) -> bool {
        let is_lockstep = self.engine.as_ref().is_some_and(|engine| engine.sets > 0);
        let fastest = self.members.iter().map(|member| member.pace).fold(f64::INFINITY, f64::min);
        is_lockstep && member.pace > fastest * SLOW_RANK
    }

    fn is_member_stalled(&self, member: &Member, now: Timestamp) -> bool {
        member.silent_ms(now) >= STALL_MS && now.millis_since(self.answered_at) <= OTHERS_ANSWER_MS
    }

    /// Returns whether some server would take `job` once it has room.
    pub(super) fn has_candidate(&self, job: &Job) -> bool {
        self.members.iter().any(|member| !member.is_leaving && !is_excluded(member, job))
    }

    /// Returns whether `job` cannot be on time any more even if it is sent now.
    pub(super) fn is_late(&self, job: &Job, now: Timestamp) -> bool {
        latest_start_of(job, self.traffic.first_ms()) < now
    }

    pub(super) fn count_ahead(&self, job: &Job, now: Timestamp) -> usize {
        let first_ms = self.traffic.first_ms();
        self.waiting.ahead_of(job, latest_start_of(job, first_ms), first_ms, now)
    }

    /// Returns the places that requests that can be on time will need, as a part of all.
    ///
    /// A late response is worth a fraction of one that is on time, so late requests get only places that no other one is
    /// expected to need.
    fn reserved_part(&self, now: Timestamp) -> f64 {
        let places: u32 = self.members.iter().filter(|m| !m.is_leaving).map(|m| self.place_limit(m)).sum();
        let needed =
            self.traffic.fresh_per_s(now) * self.instances as f64 * self.traffic.holding_ms() / 1000.0;
        (needed / f64::from(places.max(1))).min(MAX_RESERVED)
    }

    /// Returns whether a late job may take a place.
    fn has_slack(&self, now: Timestamp) -> bool {
        let (places, taken) = self.places(now);
        f64::from(taken) < f64::from(places) * (1.0 - self.reserved_part(now))
    }

    /// Predicts how long `job` would wait, in milliseconds.
    pub(super) fn predict_wait_ms(&self, job: &Job, now: Timestamp) -> u64 {
        let ahead = self.count_ahead(job, now) + 1;
        let ends_per_s = self.traffic.ends_per_s(now).unwrap_or_else(|| self.nominal_rate_per_s());
        let rate = if self.is_late(job, now) && !job.is_resumption {
            (ends_per_s - self.traffic.fresh_per_s(now)).max(ends_per_s * MIN_SLACK)
        } else {
            ends_per_s
        };
        (ahead as f64 * 1000.0 / rate.max(MIN_RATE_PER_S)) as u64
    }

    /// Returns the longest wait after which serving `job` is still worth a place, in milliseconds.
    pub(super) fn longest_wait_ms(&self, job: &Job, now: Timestamp) -> u64 {
        if job.is_resumption {
            return job.deadline.millis_since(now);
        }
        let left = job.deadline.millis_since(now).saturating_sub(self.traffic.first_ms());
        let on_time = latest_start_of(job, self.traffic.first_ms()).millis_since(now);
        on_time.max(left / WAIT_DIVISOR)
    }

    fn place_limit(&self, member: &Member) -> u32 {
        member.record.slots.max(1)
    }

    /// Returns the ends in a second when this instance has an equal part of all places, as long as nothing was observed.
    fn nominal_rate_per_s(&self) -> f64 {
        let places: u32 = self.members.iter().map(|member| self.place_limit(member)).sum();
        let holding_ms =
            self.engine.as_ref().map_or(self.traffic.holding_ms(), |engine| engine.holding_time_ms());
        f64::from(places) / self.instances as f64 * 1000.0 / holding_ms.max(1.0)
    }
}

fn is_excluded(member: &Member, job: &Job) -> bool {
    job.excluded.contains(&member.record.id)
}
