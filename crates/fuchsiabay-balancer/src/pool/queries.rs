//! What can be asked of a pool.

use std::sync::Arc;

use fuchsiabay_base::{InstanceId, Timestamp};

use super::{Grant, Job, Pool, PoolSnapshot, ServerSnapshot, member::Member};
use crate::ServerRecord;

/// The longest wait that a late response is still worth, in milliseconds. A longer queue keeps places from requests
/// that can be on time.
const LONGEST_LATE_WAIT_MS: u64 = 2_000;

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
    pub fn has_blocked(&self, now: Timestamp) -> bool {
        self.members.iter().any(|member| !member.is_leaving && member.is_blocked(now))
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
        let fits = |member: &&(usize, &Member)| {
            let member = member.1;
            member.is_choosable(now)
                && !self.is_member_stalled(member, now)
                && member.load(now) < self.place_limit(member)
                && !is_excluded(member, job)
        };
        let best = self.members.iter().enumerate().filter(|entry| fits(&entry)).min_by_key(|(_, member)| {
            let remote = member.record.zone != self.zone;
            // A slow server in a lockstep group slows every other one by the requests that it gets.
            let cost = f64::from(member.load(now) + 1) * member.pace;
            ((cost * 100.0) as u64, member.own_tokens, remote, fastrand::u32(..))
        });
        let (i, member) = best?;
        let grant = Grant {
            server: member.record.clone(),
            tokens: job.tokens,
            load: member.load(now) + 1,
            load_age_ms: member.report_age_ms(now),
        };
        Some((i, grant))
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

    fn is_member_stalled(&self, member: &Member, now: Timestamp) -> bool {
        member.silent_ms(now) >= STALL_MS && now.millis_since(self.answered_at) <= OTHERS_ANSWER_MS
    }

    /// Returns whether some server would take `job` once it has room.
    pub(super) fn has_candidate(&self, job: &Job) -> bool {
        self.members.iter().any(|member| !member.is_leaving && !is_excluded(member, job))
    }

    /// Predicts how long `job` would wait, in milliseconds.
    pub(super) fn predict_wait_ms(&self, job: &Job, now: Timestamp) -> u64 {
        let ahead = self.waiting.ahead_of(job, now) + 1;
        let rate = self.demand.ends_per_s(now).or_else(|| self.nominal_rate_per_s());
        match rate {
            Some(rate) if rate > 0.0 => (ahead as f64 * 1000.0 / rate) as u64,
            _ => 0,
        }
    }

    /// Returns the longest wait after which serving `job` is still worth a place, in milliseconds.
    pub(super) fn longest_wait_ms(&self, job: &Job, now: Timestamp) -> u64 {
        let left = job.deadline.millis_since(now);
        if self.engine.is_some() {
            LONGEST_LATE_WAIT_MS.min(left / WAIT_DIVISOR)
        } else {
            left / WAIT_DIVISOR
        }
    }

    fn place_limit(&self, member: &Member) -> u32 {
        member.record.slots.max(1)
    }

    /// Returns the ends in a second when every place is taken by requests of usual size and this instance has an equal
    /// part of them, as long as nothing was observed.
    fn nominal_rate_per_s(&self) -> Option<f64> {
        let engine = self.engine.as_ref()?;
        let own: u32 = self.members.iter().map(|member| member.own).sum();
        Some(f64::from(own.max(1)) * 1000.0 / engine.holding_time_ms().max(1.0))
    }
}

fn is_excluded(member: &Member, job: &Job) -> bool {
    job.excluded.contains(&member.record.id)
}
