//! What changes a pool.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::{InstanceId, Timestamp, invariant};

use super::{Admission, Grant, Job, JobId, Pool, Refusal, RefusalReason, member::Member};
use crate::{EngineProfile, Outcome, ServerRecord};

/// The time for which a server that said it is full gets no request, in milliseconds.
const FULL_PAUSE_MS: u64 = 100;

/// The shortest time after which a refused caller is asked to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// The longest time after which a refused caller is asked to come back, in milliseconds. Predictions beyond it are worth little.
const MAX_RETRY_AFTER_MS: u64 = 2_500;

/// Refused callers are spread over this time, in milliseconds, so that they do not come back together.
const RETRY_AFTER_SPREAD_MS: u64 = 400;

/// The time after which a caller is asked to come back when no server is known, in milliseconds.
const NO_SERVER_RETRY_AFTER_MS: u64 = 1_000;

impl Pool {
    /// Sets the profile of the service's engines.
    pub fn set_engine(&mut self, engine: Option<&EngineProfile>) {
        self.engine = engine.cloned();
    }

    /// Sets the servers that may get new work. Returns the jobs that get a place by it.
    pub fn set_servers<'a>(
        &mut self,
        ready: impl IntoIterator<Item = &'a Arc<ServerRecord>>,
        now: Timestamp,
    ) -> Vec<(JobId, Grant)> {
        self.members.iter_mut().for_each(|member| member.is_leaving = true);
        for record in ready {
            self.set_server(record);
        }
        self.members.retain(|member| !member.is_leaving || member.own > 0);
        self.dispatch(now)
    }

    fn set_server(&mut self, record: &Arc<ServerRecord>) {
        let known = self.members.iter_mut().find(|member| member.record.id == record.id);
        let Some(member) = known else {
            self.members.push(Member::new(record.clone()));
            return;
        };
        member.is_leaving = false;
        // A new life knows nothing of what was sent to the former one.
        if member.record.born_ms != record.born_ms {
            *member = member.reborn(record.clone());
            return;
        }
        member.record = record.clone();
    }

    /// Decides about a new job.
    pub fn admit(&mut self, job: Job, now: Timestamp) -> Admission {
        let is_late = self.is_late(&job, now);
        if !is_late && !job.is_resumption {
            self.traffic.note_fresh(now);
        }
        if self.count_ahead(&job, now) == 0
            && let Some(grant) = self.take_place(&job, now)
        {
            return Admission::Granted(grant);
        }
        if !self.has_candidate(&job) {
            return Admission::Refused(self.refusal(RefusalReason::NoServer, 0));
        }
        if self.waits_for_rank(now) && !job.is_caller_retry && !job.is_resumption {
            return Admission::Refused(self.refusal(RefusalReason::GroupIncomplete, 0));
        }
        let wait = self.predict_wait_ms(&job, now);
        if wait > self.longest_wait_ms(&job, now) {
            return Admission::Refused(self.refusal(RefusalReason::WaitTooLong, wait));
        }
        let id = JobId(self.next_job);
        self.next_job += 1;
        self.waiting.push(id, job);
        Admission::Queued(id)
    }

    /// Takes a waiting job out. Returns whether it was still waiting.
    pub fn cancel(&mut self, id: JobId) -> bool {
        self.waiting.remove(id).is_some()
    }

    /// Takes out the jobs whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<JobId> {
        self.waiting.take_expired(now)
    }

    /// Sets the number of instances that share the servers.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Notes that a server began its response to the request that holds `grant`.
    pub fn note_response_started(&mut self, grant: &Grant, now: Timestamp) {
        self.answered_at = now;
        self.traffic.note_first(now.millis_since(grant.taken_at));
        if let Some(member) = self.member(&grant.server.id) {
            member.note_answered(now);
        }
    }

    /// Sets how much slower than usual a server works.
    pub fn set_pace(&mut self, server: &InstanceId, pace: f64) {
        if let Some(member) = self.member(server) {
            member.pace = pace;
        }
    }

    /// Gives a place back. `was_answered` tells whether the server had begun a response. Returns the jobs that get a place by it, and whether the server was ejected.
    pub fn finish(
        &mut self,
        grant: &Grant,
        outcome: Outcome,
        was_answered: bool,
        now: Timestamp,
    ) -> (Vec<(JobId, Grant)>, bool) {
        self.traffic.note_end(now.millis_since(grant.taken_at), now);
        let mut ejected = false;
        if let Some(member) = self.member(&grant.server.id) {
            invariant!("place_returned_once", member.own > 0, "server {} has no request", grant.server.id);
            if !was_answered {
                member.note_answered(now);
            }
            member.own = member.own.saturating_sub(1);
            member.own_tokens = member.own_tokens.saturating_sub(grant.tokens);
            if member.record.born_ms == grant.server.born_ms {
                ejected = member.health.note_outcome(outcome, now);
            }
        }
        self.members.retain(|member| !member.is_leaving || member.own > 0);
        (self.dispatch(now), ejected)
    }

    /// Notes how many requests a server holds in all, as it said itself.
    pub fn note_total(&mut self, server: &InstanceId, total: u32, now: Timestamp) {
        if let Some(member) = self.member(server) {
            member.note_total(total, now);
        }
    }

    /// Notes how many requests the other instances have at each server. Servers that are not named have none.
    pub fn note_others(&mut self, others: &HashMap<InstanceId, u32>, now: Timestamp) -> Vec<(JobId, Grant)> {
        for member in &mut self.members {
            member.note_others(others.get(&member.record.id).copied().unwrap_or(0), now);
        }
        self.dispatch(now)
    }

    /// Notes that a server said it is full.
    pub fn note_full(&mut self, server: &InstanceId, now: Timestamp) {
        if let Some(member) = self.member(server) {
            member.note_full(now.plus_millis(FULL_PAUSE_MS));
        }
    }

    /// Blocks a server, because it cannot run anything until `until`, or unblocks it.
    pub fn set_blocked(&mut self, server: &InstanceId, until: Option<Timestamp>) {
        if let Some(member) = self.member(server) {
            member.set_blocked(until);
        }
    }

    /// Notes whether a rank of a closed group cannot be reached.
    pub fn set_lacks_ranks(&mut self, lacks_ranks: bool) {
        self.lacks_ranks = lacks_ranks;
    }

    /// Blocks every server until `until`. The ranks of a group stop together, so the next one would refuse, too.
    pub fn block_all(&mut self, until: Timestamp) {
        self.members.iter_mut().for_each(|member| member.set_blocked(Some(until)));
    }

    /// Gives free places to waiting jobs.
    pub fn dispatch(&mut self, now: Timestamp) -> Vec<(JobId, Grant)> {
        let mut grants = Vec::new();
        let first_ms = self.traffic.first_ms();
        while let Some(id) = self.waiting.first(first_ms, now, |job| self.find_place(job, now).is_some()) {
            let Some(job) = self.waiting.remove(id) else {
                break;
            };
            let Some(grant) = self.take_place(&job, now) else {
                break;
            };
            grants.push((id, grant));
        }
        grants
    }

    fn take_place(&mut self, job: &Job, now: Timestamp) -> Option<Grant> {
        let (i, grant) = self.find_place(job, now)?;
        let member = &mut self.members[i];
        member.note_sent(grant.tokens, now);
        Some(grant)
    }

    fn refusal(&self, reason: RefusalReason, wait_ms: u64) -> Refusal {
        let retry_after_ms = match reason {
            RefusalReason::NoServer => NO_SERVER_RETRY_AFTER_MS,
            RefusalReason::GroupIncomplete => MAX_RETRY_AFTER_MS + fastrand::u64(..RETRY_AFTER_SPREAD_MS),
            RefusalReason::WaitTooLong => {
                wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) + fastrand::u64(..RETRY_AFTER_SPREAD_MS)
            }
        };
        Refusal { reason, retry_after_ms, predicted_wait_ms: wait_ms, queued: self.waiting.len() }
    }

    fn member(&mut self, id: &InstanceId) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.record.id == *id)
    }
}
