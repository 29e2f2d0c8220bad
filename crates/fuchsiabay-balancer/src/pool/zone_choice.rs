//! The parts of a pool that decide in which zone a request runs.

use fuchsiabay_base::Timestamp;

use super::{
    CrossZoneChange, CrossZoneReason, Job, Pool, ZoneStatus,
    member::Member,
    placement::{Candidate, ZoneUsage, choose_least_loaded, choose_rank, pass_time_ms},
};
use crate::{EngineProfile, ServerPreference};

impl Pool {
    /// Sets which servers this instance prefers among the ranks of a group.
    pub fn set_server_preference(&mut self, server_preference: &ServerPreference) {
        if self.server_preference == *server_preference {
            return;
        }
        self.server_preference = server_preference.clone();
        self.members.iter_mut().for_each(|member| member.preference = None);
        self.update_preferences();
    }

    /// Determines the position of this instance at the servers that are new.
    pub(super) fn update_preferences(&mut self) {
        for member in self.members.iter_mut().filter(|member| member.preference.is_none()) {
            member.preference = Some(self.server_preference.rank_at(&member.record.id));
        }
    }

    /// Returns whether this instance has begun or stopped to send requests to other zones since the last call that returned a
    /// change.
    pub fn take_cross_zone_change(&mut self, now: Timestamp) -> Option<CrossZoneChange> {
        self.cross_zone_traffic.take_change(now)
    }

    pub(super) fn zone_status(&self) -> ZoneStatus {
        ZoneStatus {
            is_spilling: self.zone_spill.is_spilling(),
            cross_zone_share: self.cross_zone_traffic.share(),
            reason: self.cross_zone_traffic.reason(),
        }
    }

    /// Chooses the server for the next request among those that `is_usable` accepts, whether one of their slots is free or not.
    /// Returns its index and why it is in another zone.
    pub(super) fn choose_server(
        &self,
        job: &Job,
        is_usable: impl Fn(&Member) -> bool,
        now: Timestamp,
    ) -> Option<(usize, Option<CrossZoneReason>)> {
        // Every waiting request asks for a slot whenever one may be free, and usually there is none.
        let is_free =
            |member: &Member| member.load(now) < self.slot_limit_for(job, member) && is_usable(member);
        if !self.members.iter().any(is_free) {
            return None;
        }
        let candidates = self.candidates(is_usable, |member| self.slot_limit_for(job, member), now);
        let (chosen, cross_zone_reason) = if self.is_lockstep() {
            let chosen = choose_rank(&candidates)?;
            let reason = if candidates.iter().any(|candidate| candidate.is_in_own_zone) {
                CrossZoneReason::RankLoad
            } else {
                CrossZoneReason::NoServer
            };
            (chosen, (!candidates[chosen].is_in_own_zone).then_some(reason))
        } else if self.engine.is_some() {
            // More requests make each step of an engine longer, so the least loaded one is faster than one nearby.
            (choose_least_loaded(&candidates)?, None)
        } else {
            self.zone_spill.choose(&candidates, fastrand::f64(), now)?
        };
        Some((candidates[chosen].member, cross_zone_reason))
    }

    /// Records that a slot was granted for a request that is sent to another zone for the reason `cross_zone_reason`.
    pub(super) fn record_placement(&mut self, cross_zone_reason: Option<CrossZoneReason>, now: Timestamp) {
        self.cross_zone_traffic.record_sent(cross_zone_reason, now);
        if self.engine.is_some() {
            return;
        }
        let mut zone_spill = std::mem::take(&mut self.zone_spill);
        zone_spill.record_usage(self.zone_usage(now), now);
        self.zone_spill = zone_spill;
    }

    /// Records the usage of the zones after the loads of the neighbours were received.
    pub(super) fn sample_zones(&mut self, now: Timestamp) {
        if self.engine.is_some() {
            return;
        }
        let mut zone_spill = std::mem::take(&mut self.zone_spill);
        zone_spill.record_sample(&self.zone_usage(now), now);
        self.zone_spill = zone_spill;
    }

    fn zone_usage(&self, now: Timestamp) -> Vec<ZoneUsage<'_>> {
        let slots = |member: &Member| self.slot_limit(member);
        ZoneUsage::of_zones(&self.candidates(|member| member.is_eligible(now), slots, now))
    }

    /// Returns the servers that `is_usable` accepts, each with the number of requests that `slots` allows there.
    fn candidates(
        &self,
        is_usable: impl Fn(&Member) -> bool,
        slots: impl Fn(&Member) -> u32,
        now: Timestamp,
    ) -> Vec<Candidate<'_>> {
        let prefill_ms = self.prefill_ms(now);
        let usable = self.members.iter().enumerate().filter(|(_, member)| is_usable(member));
        let candidate = |(i, member): (usize, &'_ Member)| Candidate {
            member: i,
            zone: &self.members[i].record.zone,
            is_in_own_zone: member.record.zone == self.zone,
            load: member.load(now),
            slots: slots(member),
            slowdown: member.slowdown,
            own_tokens: member.own_tokens,
            has_own_prefill: member.has_own_prefill(prefill_ms, now),
            preference: member.preference.unwrap_or(0),
        };
        usable.map(candidate).collect()
    }

    fn is_lockstep(&self) -> bool {
        self.engine.as_ref().is_some_and(EngineProfile::is_lockstep)
    }

    /// Returns how long a rank is expected to process the prompt of a new request, in milliseconds.
    fn prefill_ms(&self, now: Timestamp) -> u64 {
        let Some(engine) = self.engine.as_ref().filter(|_| self.is_lockstep()) else {
            return 0;
        };
        let (_, used) = self.slot_usage(now);
        pass_time_ms(engine, used / self.members.len().max(1) as u32)
    }
}
