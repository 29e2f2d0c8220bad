//! Records what makes servers cold, and the requests that are sent to them.

use std::collections::HashMap;

use fuchsiabay_base::{InstanceId, Timestamp, ZoneName};

use super::{
    ColdEvents, ColdReason, ColdServerEvent, ColdStartLimits, ColdStarts, MAX_GRANT_AGE_MS,
    cold_server::ColdServer,
};
use crate::{Grant, ServerRecord, Sharers};

/// How long the state of a server is kept after it is no longer listed, in milliseconds. A server that returns later counts as new,
/// and is cold as well.
const LIFETIME_MS: u64 = 600_000;

impl ColdStarts {
    /// Sets the limits. Without limits, nothing takes effect.
    pub(crate) fn set_limits(&mut self, limits: Option<ColdStartLimits>) {
        self.limits = limits;
    }

    /// Sets the instances that share the limits.
    pub(crate) fn set_sharers(&mut self, sharers: Sharers) {
        if self.sharers == sharers {
            return;
        }
        for (id, cold) in &mut self.by_server {
            cold.rank = sharers.rank_at(id);
        }
        self.sharers = sharers;
    }

    /// Records which servers are listed, and what their entries state.
    pub(crate) fn record_listing<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a ServerRecord>,
        now: Timestamp,
    ) {
        let is_first = self.first_listed_at.is_none();
        self.first_listed_at.get_or_insert(now);
        let listed: HashMap<&InstanceId, &ServerRecord> = listed.map(|record| (&record.id, record)).collect();
        for (id, cold) in &mut self.by_server {
            if !listed.contains_key(id) {
                cold.expires_at.get_or_insert(now.plus_millis(LIFETIME_MS));
            }
        }
        for record in listed.into_values() {
            self.record_entry(record, is_first, now);
        }
    }

    fn record_entry(&mut self, record: &ServerRecord, is_first: bool, now: Timestamp) {
        let version = record.version_key();
        let is_known = self.by_server.contains_key(&record.id);
        let new = || ColdServer::new(record, self.sharers.rank_at(&record.id));
        let cold = self.by_server.entry(record.id.clone()).or_insert_with(new);
        let has_restarted = record.started_at_ms > cold.version.0;
        let has_returned = cold.expires_at.take().is_some();
        let is_news = !is_known || version > cold.version;
        cold.version = cold.version.max(version);
        let start_ms = self.start_ms();
        if !is_first && (!is_known || has_restarted) {
            self.mark(&record.id, start_ms, ColdReason::Started, now);
        } else if has_returned {
            self.mark(&record.id, start_ms, ColdReason::Returned, now);
        }
        if is_news && record.cold_left_ms > 0 {
            self.mark(&record.id, ColdStartLimits::clamp_ms(record.cold_left_ms), ColdReason::Stated, now);
        }
    }

    /// Records that the server cannot run requests before `until`.
    pub(crate) fn record_blocked(&mut self, server: &InstanceId, until: Timestamp) {
        if let Some(cold) = self.by_server.get_mut(server) {
            cold.blocked_until = Some(until);
        }
    }

    /// Records for each of `servers` whether its group is open. Returns whether all of them are open and some were not, which makes
    /// all servers of the service cold: the ranks of a group stop and start together.
    pub(crate) fn record_groups(&mut self, servers: &[(InstanceId, bool)], now: Timestamp) -> bool {
        let Some(limits) = self.limits else {
            return false;
        };
        let is_open_again = |cold: &ColdServer| cold.blocked_until.is_some();
        let back: Vec<&InstanceId> = servers
            .iter()
            .filter(|(id, is_open)| *is_open && self.by_server.get(id).is_some_and(is_open_again))
            .map(|(id, _)| id)
            .collect();
        let has_reopened = !back.is_empty() && servers.iter().all(|(_, is_open)| *is_open);
        if has_reopened {
            self.mark_all(None, ColdReason::GroupReopened, now);
        }
        for id in back {
            self.mark(id, limits.start_ms, ColdReason::Unblocked, now);
            if let Some(cold) = self.by_server.get_mut(id) {
                cold.blocked_until = None;
            }
        }
        has_reopened
    }

    /// Marks the listed servers of a zone, or of all zones, as cold.
    pub(crate) fn mark_all(&mut self, zone: Option<&ZoneName>, reason: ColdReason, now: Timestamp) {
        let Some(limits) = self.limits else {
            return;
        };
        let is_affected = |(_, cold): &(&InstanceId, &ColdServer)| {
            cold.expires_at.is_none() && zone.is_none_or(|zone| cold.zone == *zone)
        };
        let ids: Vec<InstanceId> =
            self.by_server.iter().filter(is_affected).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.mark(&id, limits.start_ms, reason, now);
        }
    }

    /// Records that a connection to the server was refused.
    pub(crate) fn record_unreachable(&mut self, server: &InstanceId, now: Timestamp) {
        let Some(limits) = self.limits else {
            return;
        };
        self.mark(server, limits.start_ms, ColdReason::Unreachable, now);
        if let Some(cold) = self.by_server.get_mut(server) {
            cold.is_unreachable = true;
        }
    }

    /// Records that the server has responded.
    pub(crate) fn record_response(&mut self, server: &InstanceId, now: Timestamp) {
        let was_unreachable = self.by_server.get_mut(server).is_some_and(|cold| cold.is_unreachable);
        if let Some(limits) = self.limits
            && was_unreachable
        {
            self.mark(server, limits.start_ms, ColdReason::Unreachable, now);
            self.by_server.entry(server.clone()).and_modify(|cold| cold.is_unreachable = false);
        }
    }

    /// Records that a slot at the server is granted. Slots at servers that are not cold are recorded as well, because a server can
    /// become cold at any moment.
    pub(crate) fn record_grant(&mut self, server: &InstanceId, now: Timestamp) {
        if self.limits.is_none() {
            return;
        }
        self.events.granted += u64::from(self.is_cold(server, now));
        if let Some(cold) = self.by_server.get_mut(server) {
            cold.window.record(now);
        }
    }

    /// Returns whether the request that holds `grant` may still be sent. If opening its connection took long, or the server has
    /// become cold meanwhile, the request must fit into the window again.
    pub(crate) fn confirm_send(&mut self, grant: &Grant, now: Timestamp) -> bool {
        let server = &grant.server.id;
        let Some((limits, cold, since)) = self.cold(server, now) else {
            return true;
        };
        if grant.granted_at >= since && now.millis_since(grant.granted_at) <= MAX_GRANT_AGE_MS {
            return true;
        }
        let share = self.share(cold, limits, now);
        let cold = self.by_server.get_mut(server);
        let may_send = cold.is_some_and(|cold| cold.window.renew(grant.granted_at, share, now));
        self.events.withheld += u64::from(!may_send);
        may_send
    }

    /// Drops the state of servers that were removed long ago.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.by_server.retain(|_, cold| cold.expires_at.is_none_or(|at| at > now));
    }

    /// Returns what has happened since the last call.
    pub(crate) fn take_events(&mut self) -> ColdEvents {
        std::mem::take(&mut self.events)
    }

    fn mark(&mut self, server: &InstanceId, for_ms: u64, reason: ColdReason, now: Timestamp) {
        let (until, start_ms) = (now.plus_millis(for_ms), self.start_ms());
        let Some(cold) = self.by_server.get_mut(server) else {
            return;
        };
        if !cold.mark(until, reason, start_ms, now) {
            return;
        }
        // Without limits, the state is kept because the configuration may arrive later than the directory.
        if let Some((limits, cold, _)) = self.cold(server, now) {
            let share = self.share(cold, limits, now);
            self.events.servers.push(ColdServerEvent { server: server.clone(), reason, until, share });
        }
    }

    fn start_ms(&self) -> u64 {
        self.limits.map_or(0, |limits| limits.start_ms)
    }
}
