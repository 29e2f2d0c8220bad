//! Operations that change a pool.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::{InstanceId, Timestamp, invariant};

use super::{Admission, Grant, Job, JobId, Pool, Refusal, RefusalReason, member::Member};
use crate::{EngineProfile, InstanceRank, Outcome, ServerRecord};

/// How long a server gets no requests after it responded that it is full, in milliseconds.
const FULL_PAUSE_MS: u64 = 100;

/// The minimum delay after which a refused caller is asked to retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// The maximum delay after which a refused caller is asked to retry, in milliseconds. Predictions of longer waits are
/// not reliable.
const MAX_RETRY_AFTER_MS: u64 = 2_500;

/// The range of the random delay added for refused callers, in milliseconds, so that they do not all retry at the same
/// time.
const RETRY_AFTER_SPREAD_MS: u64 = 400;

/// The delay after which a caller is asked to retry when no server is known, in milliseconds.
const NO_SERVER_RETRY_AFTER_MS: u64 = 1_000;

impl Pool {
    /// Sets the profile of the service's engines.
    pub fn set_engine(&mut self, engine: Option<&EngineProfile>) {
        self.engine = engine.cloned();
    }

    /// Sets the servers that accept new requests. Returns the jobs that got a slot.
    pub fn set_servers<'a>(
        &mut self,
        ready: impl IntoIterator<Item = &'a Arc<ServerRecord>>,
        now: Timestamp,
    ) -> Vec<(JobId, Grant)> {
        let ready: Vec<_> = ready.into_iter().collect();
        self.statements.record_listing(ready.iter().map(|record| record.as_ref()), now);
        self.cold.record_listing(ready.iter().map(|record| record.as_ref()), now);
        self.members.iter_mut().for_each(|member| member.is_leaving = true);
        for record in ready.into_iter().filter(|record| !self.statements.is_leaving(record)) {
            Self::set_server(&mut self.members, record);
        }
        self.members.retain(|member| !member.is_leaving || member.own_requests > 0);
        self.update_preferences();
        self.mark_drained();
        self.dispatch(now)
    }

    fn set_server(members: &mut Vec<Member>, record: &Arc<ServerRecord>) {
        let known = members.iter_mut().find(|member| member.record.id == record.id);
        let Some(member) = known else {
            members.push(Member::new(record.clone()));
            return;
        };
        member.is_leaving = false;
        // A restarted server does not know the requests sent to its previous incarnation.
        if member.record.started_at_ms != record.started_at_ms {
            *member = member.restarted(record.clone());
            return;
        }
        member.record = record.clone();
    }

    /// Grants a slot to a new job, queues it or refuses it.
    pub fn admit(&mut self, job: Job, now: Timestamp) -> Admission {
        if let Some(refusal) = self.refuse_if_too_slow(&job, now) {
            return Admission::Refused(refusal);
        }
        let is_late = self.is_late(&job, now);
        if !is_late && !job.is_resumption {
            self.traffic.record_on_time_arrival(now);
        }
        self.update_shares(Some(&job), now);
        if self.count_ahead(&job, now) == 0
            && let Some(grant) = self.take_slot(&job, now)
        {
            return Admission::Granted(grant);
        }
        if let Some(refusal) = self.unservable(&job, now) {
            return Admission::Refused(refusal);
        }
        if self.is_blocked_by_unreachable_rank(now) && !job.is_caller_retry && !job.is_resumption {
            return Admission::Refused(self.refusal(RefusalReason::GroupIncomplete, 0));
        }
        let wait = self.predict_wait_ms(&job, now);
        if wait > self.longest_wait_ms(&job, now) {
            self.count_refused_on_arrival(&job);
            return Admission::Refused(self.refusal(RefusalReason::WaitTooLong, wait));
        }
        let id = JobId(self.next_job);
        self.next_job += 1;
        self.record_queued_probe(id, now);
        self.queue.push(id, job);
        Admission::Queued(id)
    }

    /// Removes a job from the queue. Returns whether it was still waiting.
    pub fn cancel(&mut self, id: JobId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Removes the waiting jobs whose deadline has passed, and returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<JobId> {
        self.statements.expire(now);
        self.cold.expire(now);
        self.queue.take_expired(now)
    }

    /// Sets the number of instances that share the servers.
    pub fn set_instance_count(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Records that the server started its response to the request that holds `grant`.
    pub fn record_response_started(&mut self, grant: &Grant, now: Timestamp) {
        self.last_response_at = now;
        self.traffic.record_first_byte(now.millis_since(grant.granted_at));
        self.cold.record_response(&grant.server.id, now);
        if let Some(member) = self.member(&grant.server.id) {
            member.record_response_started(now);
            member.record_first_byte(now.millis_since(grant.granted_at), now);
        }
    }

    /// Sets the factor by which a server is slower than usual.
    pub fn set_slowdown(&mut self, server: &InstanceId, slowdown: f64) {
        if let Some(member) = self.member(server) {
            member.slowdown = slowdown;
        }
    }

    /// Releases a slot. `response_started` states whether the server had started its response. Returns the jobs that
    /// got a slot, and whether the server was ejected.
    pub fn finish(
        &mut self,
        grant: &Grant,
        outcome: Outcome,
        response_started: bool,
        now: Timestamp,
    ) -> (Vec<(JobId, Grant)>, bool) {
        self.traffic.record_completion(now.millis_since(grant.granted_at), now);
        if !response_started && outcome == Outcome::Neutral {
            self.refund(grant, now);
        }
        let mut ejected = false;
        if let Some(member) = self.member(&grant.server.id) {
            invariant!(
                "place_returned_once",
                member.own_requests > 0,
                "server {} has no request",
                grant.server.id
            );
            if !response_started {
                member.record_response_started(now);
            }
            member.own_requests = member.own_requests.saturating_sub(1);
            member.own_tokens = member.own_tokens.saturating_sub(grant.tokens);
            if member.record.started_at_ms == grant.server.started_at_ms {
                ejected = member.health.record_outcome(outcome, grant.granted_at, now);
            }
        }
        self.members.retain(|member| !member.is_leaving || member.own_requests > 0);
        (self.dispatch(now), ejected)
    }

    /// Sets the total number of requests at a server, as the server reported it.
    pub fn set_reported_load(&mut self, server: &InstanceId, total: u32, now: Timestamp) {
        if let Some(member) = self.member(server) {
            member.set_reported_load(total, now);
        }
    }

    /// Sets the number of requests of the other instances at each server, zero for servers not in `others`. Returns the
    /// jobs that got a slot.
    pub fn set_neighbour_loads(
        &mut self,
        others: &HashMap<InstanceId, u32>,
        now: Timestamp,
    ) -> Vec<(JobId, Grant)> {
        for member in &mut self.members {
            member.set_neighbour_load(others.get(&member.record.id).copied().unwrap_or(0), now);
        }
        self.sample_zones(now);
        self.update_own_limit(now);
        self.dispatch(now)
    }

    /// Sets the number of requests a second that a server accepts from all instances, among which this one has `rank`. None if
    /// the server states no limit.
    pub fn set_rate_limit(
        &mut self,
        server: &InstanceId,
        per_s: Option<f64>,
        rank: InstanceRank,
        now: Timestamp,
    ) {
        if let Some(member) = self.members.iter().find(|member| member.record.id == *server) {
            self.statements.set_rate_limit(&member.record, per_s, rank, now);
        }
    }

    /// Records that `server` has stated that it is leaving. Returns whether that was unknown.
    pub fn record_leaving(&mut self, server: &ServerRecord) -> bool {
        let is_new = self.statements.record_leaving(server);
        self.mark_leaving();
        is_new
    }

    /// Records that `server` wants no requests for `seconds`. Returns the end of the pause, or None if `seconds` is not a length
    /// of time or the server has restarted since.
    pub fn record_pause(&mut self, server: &ServerRecord, seconds: f64, now: Timestamp) -> Option<Timestamp> {
        let until = self.statements.record_pause(server, seconds, now);
        self.mark_leaving();
        until
    }

    fn mark_leaving(&mut self) {
        for member in &mut self.members {
            member.is_leaving |= self.statements.is_leaving(&member.record);
        }
    }

    /// Removes the waiting jobs that no server will accept, and returns them.
    pub fn refuse_unservable(&mut self, now: Timestamp) -> Vec<(JobId, Refusal)> {
        let refused: Vec<_> =
            self.queue.iter().filter_map(|(id, job)| Some((*id, self.unservable(job, now)?))).collect();
        refused.iter().for_each(|(id, _)| drop(self.queue.remove(*id)));
        refused
    }

    /// Records that a server responded that it is full.
    pub fn record_full(&mut self, server: &InstanceId, now: Timestamp) {
        if let Some(member) = self.member(server) {
            member.record_full(now.plus_millis(FULL_PAUSE_MS));
        }
    }

    /// Blocks a server that cannot run requests until `until`. `None` unblocks it.
    pub fn set_blocked(&mut self, server: &InstanceId, until: Option<Timestamp>) {
        if let Some(until) = until {
            self.cold.record_blocked(server, until);
        }
        if let Some(member) = self.member(server) {
            member.set_blocked(until);
        }
    }

    /// Sets whether a rank of a closed group cannot be reached.
    pub fn set_has_unreachable_rank(&mut self, has_unreachable_rank: bool) {
        self.has_unreachable_rank = has_unreachable_rank;
    }

    /// Blocks every server until `until`. The ranks of a group stop together, so the next server would refuse as well.
    pub fn block_all(&mut self, until: Timestamp) {
        for member in &mut self.members {
            member.set_blocked(Some(until));
            self.cold.record_blocked(&member.record.id, until);
        }
    }

    /// Grants free slots to waiting jobs.
    pub fn dispatch(&mut self, now: Timestamp) -> Vec<(JobId, Grant)> {
        let mut grants = Vec::new();
        let first_byte_ms = self.traffic.first_byte_ms();
        loop {
            self.update_shares(None, now);
            let level_of = |job: &Job| self.shares.level(job.workspace_id(), 0.0, now);
            let fits = |job: &Job| self.find_slot(job, now).is_some();
            let first = self.queue.first_fitting(first_byte_ms, now, level_of, fits);
            let Some((id, job)) = first.and_then(|id| Some((id, self.queue.remove(id)?))) else {
                break;
            };
            self.count_overtaking(&job, now);
            let Some(grant) = self.take_slot(&job, now) else {
                break;
            };
            grants.push((id, grant));
        }
        grants
    }

    fn take_slot(&mut self, job: &Job, now: Timestamp) -> Option<Grant> {
        let (i, grant) = self.find_slot(job, now)?;
        self.statements.record_grant(&grant.server, now);
        self.cold.record_grant(&grant.server.id, now);
        self.shares.record_grant(job.workspace_id(), grant.tokens, now);
        let member = &mut self.members[i];
        member.record_sent(grant.tokens, now);
        self.record_placement(grant.cross_zone_reason, now);
        Some(grant)
    }

    /// Returns the refusal of a job that no server will accept soon. A resumption waits for the end of a pause, because its caller
    /// has already received part of the response.
    fn unservable(&self, job: &Job, now: Timestamp) -> Option<Refusal> {
        if let Some(until) = self.paused_until(job, now) {
            let may_wait = job.is_resumption && until < job.deadline;
            return (!may_wait).then(|| self.refusal(RefusalReason::Paused, until.millis_since(now)));
        }
        (!self.has_candidate(job)).then(|| self.refusal(RefusalReason::NoServer, 0))
    }

    pub(super) fn refusal(&self, reason: RefusalReason, wait_ms: u64) -> Refusal {
        let retry_after_ms = match reason {
            RefusalReason::NoServer => NO_SERVER_RETRY_AFTER_MS,
            RefusalReason::Paused => wait_ms + fastrand::u64(..RETRY_AFTER_SPREAD_MS),
            RefusalReason::GroupIncomplete => MAX_RETRY_AFTER_MS + fastrand::u64(..RETRY_AFTER_SPREAD_MS),
            // The group may recover at any moment, so the callers return at any moment within the limits.
            RefusalReason::TooSlow => {
                fastrand::u64(MIN_RETRY_AFTER_MS..=wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
            }
            RefusalReason::WaitTooLong | RefusalReason::Overtaken => {
                wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) + fastrand::u64(..RETRY_AFTER_SPREAD_MS)
            }
        };
        Refusal { reason, retry_after_ms, predicted_wait_ms: wait_ms, queued: self.queue.len() }
    }

    fn member(&mut self, id: &InstanceId) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.record.id == *id)
    }
}
