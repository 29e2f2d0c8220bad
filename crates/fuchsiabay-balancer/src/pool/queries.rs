//! Queries of a pool.

use std::sync::Arc;

use fuchsiabay_base::{InstanceId, Timestamp};

use super::{Grant, Job, Pool, PoolStatus, ServerStatus, member::Member, wait_queue::latest_start_of};
use crate::{SendPermission, ServerRecord};

/// The maximum fraction of the slots that is reserved for requests that can be on time. Refusing late requests while
/// half of the slots are free has no benefit.
const MAX_RESERVED_FRACTION: f64 = 0.5;

/// The minimum fraction of the completions that is assumed to free slots for late requests.
const MIN_LATE_FRACTION: f64 = 0.1;

/// The minimum rate of completions that a prediction assumes, per second.
const MIN_RATE_PER_S: f64 = 0.1;

/// The maximum ratio of a rank's slowdown to that of the fastest rank. A slower rank gets no requests.
const MAX_SLOWDOWN_RATIO: f64 = 1.8;

/// The minimum time without starting a response after which a server is skipped, in milliseconds.
const MIN_STALL_MS: u64 = 700;

/// The same, as a multiple of the time to the first byte at the fastest server. If all servers are slow, such as those of one
/// group, none of them is skipped.
const STALL_FIRST_BYTES: u64 = 3;

/// How recently some server must have started a response for a silent one to be skipped, in milliseconds. Otherwise the
/// whole service is slow, and skipping a server has no benefit.
const RECENT_RESPONSE_MS: u64 = 300;

/// A request may wait for its remaining time divided by this, or longer if it can still be on time.
const WAIT_DIVISOR: u64 = 2;

impl Pool {
    /// Returns the status of the pool, for the state dump of the instance.
    pub fn status(&self, now: Timestamp) -> PoolStatus {
        let server = |member: &Member| ServerStatus {
            id: member.record.id.clone(),
            own: member.own_requests,
            others: member.others_requests(now),
            ejected_until: member.health.ejected_until(),
            has_rate_limit: self.statements.has_rate_limit(&member.record),
            paused_until: self.statements.paused_until(&member.record, now),
            is_leaving: member.is_leaving,
            is_drained: member.is_drained,
            cold: self.cold.status(&member.record.id, now),
        };
        PoolStatus {
            queued: self.queue.len(),
            servers: self.members.iter().map(server).collect(),
            concurrency_limit: self.limit_status().copied(),
            stated_leaving: self.statements.leaving().cloned().collect(),
            zone_choice: self.zone_status(),
            on_time_arrivals_per_s: self.total_on_time_arrivals_per_s(now),
            demand_reporters: self.recent_demand(now).map_or(0, |demand| demand.reporters),
            fair_shares: self.shares.status(now),
        }
    }

    /// Returns the number of this instance's requests at each server, to be sent to the neighbours.
    pub fn own_loads(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.members
            .iter()
            .filter(|member| member.own_requests > 0)
            .map(|member| (&member.record.id, member.own_requests))
    }

    /// Returns the servers that are not leaving.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.members.iter().filter(|member| !member.is_leaving).map(|member| &member.record)
    }

    /// Returns whether any server is blocked.
    pub fn has_blocked_server(&self, now: Timestamp) -> bool {
        self.members.iter().any(|member| !member.is_leaving && member.is_blocked(now))
    }

    /// Returns whether a server has stated a limit.
    pub fn has_rate_limit(&self, server: &InstanceId) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.record.id == *server && self.statements.has_rate_limit(&member.record))
    }

    /// Returns whether requests wait that may be sent as soon as the limit or the pause of a server allows it, or its window while it
    /// is cold. A blocked server may be cold once it is available again.
    pub fn has_paced_jobs(&self, now: Timestamp) -> bool {
        let is_paced = |member: &Member| {
            let record = &member.record;
            self.statements.has_rate_limit(record)
                || self.statements.paused_until(record, now).is_some()
                || self.cold.is_cold(&record.id, now)
                || self.cold.has_limits() && member.is_blocked(now)
        };
        self.queue.len() > 0 && self.members.iter().any(is_paced)
    }

    /// Returns whether a request that holds a slot at `server` may be sent now. Asked right before it is sent, because the server
    /// or the directory may have stated otherwise since the slot was granted.
    pub fn send_permission(&self, server: &ServerRecord, now: Timestamp) -> SendPermission {
        let is_leaving = |member: &Member| member.record.id == server.id && member.is_leaving;
        if self.drained_zones.contains(&server.zone) || self.members.iter().any(is_leaving) {
            return SendPermission::Never;
        }
        self.statements.send_permission(server, now)
    }

    /// Returns the earliest end of a pause if every server that may run `job` has stated one. Servers that have refused the job
    /// count only if there are no others.
    pub fn paused_until(&self, job: &Job, now: Timestamp) -> Option<Timestamp> {
        let has_candidate = self.has_candidate(job);
        let servers = self
            .members
            .iter()
            .filter(|member| member.is_available())
            .filter(|member| !has_candidate || !is_excluded(member, job));
        let ends = servers.map(|member| self.statements.paused_until(&member.record, now));
        ends.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Returns whether every server is blocked because a rank cannot be reached.
    ///
    /// Callers give up after some seconds without a response, and an unreachable rank often takes longer to return. A
    /// caller that is refused the first time may retry when the rank is back.
    pub(super) fn is_blocked_by_unreachable_rank(&self, now: Timestamp) -> bool {
        let mut present = self.members.iter().filter(|member| member.is_available());
        self.has_unreachable_rank && present.all(|member| member.is_blocked(now))
    }

    /// Returns the number of slots of the servers that may get requests, and how many of them are in use.
    pub fn slot_usage(&self, now: Timestamp) -> (u32, u32) {
        let present = || self.members.iter().filter(|member| member.is_available());
        let total = self.slot_total();
        let used = present().map(|member| member.load(now).min(self.slot_limit(member))).sum();
        (total, used)
    }

    /// Returns a free slot for `job` at the best server, with the server's index.
    pub(super) fn find_slot(&self, job: &Job, now: Timestamp) -> Option<(usize, Grant)> {
        let may_use_reserved =
            job.is_resumption || self.is_far_below_share(job, now) || !self.is_late(job, now);
        if !may_use_reserved && !self.has_unreserved_slot(now) {
            return None;
        }
        if self.must_leave_slots_free(job, now) {
            return None;
        }
        if !self.has_room_below_limit(job, now) {
            return None;
        }
        let max_slowdown = self.max_slowdown();
        let is_usable = |member: &Member| {
            member.is_eligible(now)
                && member.slowdown <= max_slowdown
                && !self.is_member_stalled(member, now)
                && self.statements.grant_permission(&member.record, now).is_granted()
                && !is_excluded(member, job)
                && self.cold.allows(&member.record.id, now)
        };
        let (i, cross_zone_reason) = self.choose_server(job, is_usable, now)?;
        let member = &self.members[i];
        let grant = Grant {
            server: member.record.clone(),
            workspace: job.workspace.clone(),
            granted_at: now,
            tokens: job.tokens,
            load: member.load(now).saturating_add(1),
            load_age_ms: member.report_age_ms(now),
            cross_zone_reason,
        };
        Some((i, grant))
    }

    /// Returns whether a slot is free for `job`.
    pub fn has_free_slot(&self, job: &Job, now: Timestamp) -> bool {
        self.find_slot(job, now).is_some()
    }

    /// Returns the factor by which a server is slower than usual. 1 means normal speed.
    pub fn slowdown(&self, server: &InstanceId) -> f64 {
        self.members.iter().find(|member| member.record.id == *server).map_or(1.0, |member| member.slowdown)
    }

    /// Returns whether a server starts no responses while other servers do.
    pub fn is_stalled(&self, server: &InstanceId, now: Timestamp) -> bool {
        let member = self.members.iter().find(|member| member.record.id == *server);
        member.is_some_and(|member| self.is_member_stalled(member, now))
    }

    /// Returns the largest slowdown of a server that gets requests. The requests of a rank that is much slower than the fastest
    /// one would slow down every rank of the group, because the ranks run in lockstep.
    fn max_slowdown(&self) -> f64 {
        if self.engine.as_ref().is_none_or(|engine| !engine.is_lockstep()) {
            return f64::INFINITY;
        }
        let present = self.members.iter().filter(|member| !member.is_drained);
        let fastest = present.map(|member| member.slowdown).fold(f64::INFINITY, f64::min);
        fastest * MAX_SLOWDOWN_RATIO
    }

    fn is_member_stalled(&self, member: &Member, now: Timestamp) -> bool {
        member.silent_ms(now) >= MIN_STALL_MS
            && member.silent_ms(now) >= STALL_FIRST_BYTES * self.fastest_first_byte_ms(now)
            && now.millis_since(self.last_response_at) <= RECENT_RESPONSE_MS
    }

    /// Returns the mean time to the first byte at the fastest server, or 0 if none has responded recently, in milliseconds.
    fn fastest_first_byte_ms(&self, now: Timestamp) -> u64 {
        self.members.iter().filter_map(|member| member.first_byte_ms(now)).min().unwrap_or(0)
    }

    /// Returns whether some server could run `job` once a slot is free.
    pub(super) fn has_candidate(&self, job: &Job) -> bool {
        self.members.iter().any(|member| member.is_available() && !is_excluded(member, job))
    }

    /// Returns whether `job` would miss its goal even if it were sent now.
    pub(super) fn is_late(&self, job: &Job, now: Timestamp) -> bool {
        latest_start_of(job, self.traffic.first_byte_ms()) < now
    }

    pub(super) fn count_ahead(&self, job: &Job, now: Timestamp) -> usize {
        if self.shares.share().is_some() {
            return self.count_ahead_fairly(job, now);
        }
        let first_byte_ms = self.traffic.first_byte_ms();
        self.queue.count_ahead_of(job, latest_start_of(job, first_byte_ms), first_byte_ms, now)
    }

    /// Returns the fraction of the slots that requests that can be on time are expected to need.
    ///
    /// A late response is worth a fraction of one that is on time, so late requests get only slots that no other
    /// request is expected to need.
    fn reserved_fraction(&self, now: Timestamp) -> f64 {
        if let Some(fraction) = self.limited_reserved_fraction(now) {
            return fraction.min(MAX_RESERVED_FRACTION);
        }
        let slots = self.slot_total();
        let needed = self.total_on_time_arrivals_per_s(now) * self.traffic.holding_ms() / 1000.0;
        (needed / f64::from(slots.max(1))).min(MAX_RESERVED_FRACTION)
    }

    /// Returns whether a late job may use a slot.
    fn has_unreserved_slot(&self, now: Timestamp) -> bool {
        let (slots, used) = self.slot_usage(now);
        f64::from(used) < f64::from(slots) * (1.0 - self.reserved_fraction(now))
    }

    /// Predicts how long `job` would wait, in milliseconds.
    pub(super) fn predict_wait_ms(&self, job: &Job, now: Timestamp) -> u64 {
        self.wait_behind_ms(self.count_ahead(job, now), job, now)
    }

    /// Predicts how long `job` would wait behind `ahead` other jobs, in milliseconds.
    pub(super) fn wait_behind_ms(&self, ahead: usize, job: &Job, now: Timestamp) -> u64 {
        let ahead = ahead + 1;
        let completions_per_s =
            self.traffic.completions_per_s(now).unwrap_or_else(|| self.nominal_rate_per_s(now));
        let completions_per_s = completions_per_s.max(self.cold_rate_per_s(now));
        let rate = if self.is_late(job, now) && !job.is_resumption {
            (completions_per_s - self.traffic.on_time_arrivals_per_s(now))
                .max(completions_per_s * MIN_LATE_FRACTION)
        } else {
            completions_per_s
        };
        (ahead as f64 * 1000.0 / rate.max(MIN_RATE_PER_S)) as u64
    }

    /// Returns the longest wait after which `job` is still worth a slot, in milliseconds.
    pub(super) fn longest_wait_ms(&self, job: &Job, now: Timestamp) -> u64 {
        if job.is_resumption {
            return job.deadline.millis_since(now);
        }
        let left = job.deadline.millis_since(now).saturating_sub(self.traffic.first_byte_ms());
        let on_time = latest_start_of(job, self.traffic.first_byte_ms()).millis_since(now);
        on_time.max(left / WAIT_DIVISOR)
    }

    /// Returns the expected rate of completions per second, if this instance's share of all slots is its share of the
    /// demand. It is used until a rate has been measured.
    fn nominal_rate_per_s(&self, now: Timestamp) -> f64 {
        let slots = self.slot_total();
        let holding_ms =
            self.engine.as_ref().map_or(self.traffic.holding_ms(), |engine| engine.holding_time_ms());
        f64::from(slots) * self.demand_fraction(now) * 1000.0 / holding_ms.max(1.0)
    }
}

fn is_excluded(member: &Member, job: &Job) -> bool {
    job.excluded.contains(&member.record.id)
}
