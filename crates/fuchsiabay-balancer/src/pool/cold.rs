//! Operations and queries of a pool that concern cold servers.

use fuchsiabay_base::{InstanceId, Timestamp, ZoneName};

use super::{Grant, Pool};
use crate::{ColdEvents, ColdReason, ColdStartLimits, Sharers};

impl Pool {
    /// Sets the limits of cold servers. Without limits, no server counts as cold.
    pub fn set_cold_start_limits(&mut self, limits: Option<ColdStartLimits>) {
        self.cold.set_limits(limits);
    }

    /// Sets the instances that share the limits of cold servers.
    pub fn set_sharers(&mut self, sharers: Sharers) {
        self.cold.set_sharers(sharers);
    }

    /// Records for each server whether its group is open, before the servers are blocked or unblocked accordingly. Returns whether
    /// a group has reopened, which makes all servers cold.
    pub fn record_groups(&mut self, servers: &[(InstanceId, bool)], now: Timestamp) -> bool {
        self.cold.record_groups(servers, now)
    }

    /// Marks the servers of a zone as cold, because they may have become cold while they got no requests.
    pub fn mark_zone_cold(&mut self, zone: &ZoneName, now: Timestamp) {
        self.cold.mark_all(Some(zone), ColdReason::DrainEnded, now);
    }

    /// Records that a connection to the server was refused.
    pub fn record_unreachable(&mut self, server: &InstanceId, now: Timestamp) {
        self.cold.record_unreachable(server, now);
    }

    /// Returns whether the request that holds `grant` still complies with the limit of a cold server. Asked right before it is
    /// written, because opening its connection may have taken long.
    pub fn confirm_cold_send(&mut self, grant: &Grant, now: Timestamp) -> bool {
        self.cold.confirm_send(grant, now)
    }

    /// Returns what has happened to cold servers since the last call.
    pub fn take_cold_events(&mut self) -> ColdEvents {
        self.cold.take_events()
    }

    /// Returns the rate at which this instance may send requests to the cold servers that can run them, per second.
    pub(super) fn cold_rate_per_s(&self, now: Timestamp) -> f64 {
        let usable = self
            .members
            .iter()
            .filter(|member| member.is_eligible(now) && member.load(now) < member.record.slots.max(1));
        usable.map(|member| self.cold.rate_per_s(&member.record.id, now)).sum()
    }
}
