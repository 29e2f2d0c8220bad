//! The zones whose servers get no requests because the operator has drained them.

use std::collections::BTreeSet;

use fuchsiabay_base::{Timestamp, ZoneName};

use super::{Grant, JobId, Pool};

/// What a change of the drained zones has caused in a pool.
#[derive(Clone, Debug, Default)]
pub struct ZoneDrainChange {
    /// The zones that are drained from now on. The jobs that no other server accepts are returned by `Pool::refuse_unservable`.
    pub begun: Vec<ZoneName>,
    /// The zones whose drain has ended.
    pub ended: Vec<ZoneName>,
    /// The jobs that got a slot.
    pub grants: Vec<(JobId, Grant)>,
}

impl Pool {
    /// Sets the drained zones. Their servers get no requests, also those that are listed later. Requests that run there are not
    /// affected.
    pub fn set_drained_zones(&mut self, zones: &BTreeSet<ZoneName>, now: Timestamp) -> ZoneDrainChange {
        let begun = zones.difference(&self.drained_zones).cloned().collect();
        let ended: Vec<ZoneName> = self.drained_zones.difference(zones).cloned().collect();
        self.drained_zones = zones.clone();
        self.mark_drained();
        // The operator may have restarted the servers meanwhile.
        ended.iter().for_each(|zone| self.mark_zone_cold(zone, now));
        let grants = if ended.is_empty() { Vec::new() } else { self.dispatch(now) };
        ZoneDrainChange { begun, ended, grants }
    }

    /// Marks the servers of drained zones. Called whenever the zones or the records of the servers change.
    pub(super) fn mark_drained(&mut self) {
        for member in &mut self.members {
            member.is_drained = self.drained_zones.contains(&member.record.zone);
        }
    }

    /// Returns the number of servers that may get requests.
    pub fn available_server_count(&self) -> usize {
        self.members.iter().filter(|member| member.is_available()).count()
    }

    /// Returns the number of servers in `zone` that are not leaving.
    pub fn server_count_in(&self, zone: &ZoneName) -> usize {
        self.servers().filter(|server| server.zone == *zone).count()
    }
}
