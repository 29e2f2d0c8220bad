//! How many slots of a zone's servers are in use.

use fuchsiabay_base::ZoneName;

use super::Candidate;

/// The slots of the usable servers of one zone.
#[derive(Clone, Copy, Debug)]
pub(in crate::pool) struct ZoneUsage<'a> {
    pub(super) zone: &'a ZoneName,
    pub(super) is_own: bool,
    pub(super) used: f64,
    pub(super) slots: f64,
    pub(super) has_free_slot: bool,
}

impl<'a> ZoneUsage<'a> {
    /// Returns the usage of each zone that has candidates.
    pub(in crate::pool) fn of_zones(candidates: &[Candidate<'a>]) -> Vec<Self> {
        let mut zones: Vec<Self> = Vec::new();
        for candidate in candidates {
            let i = zones.iter().position(|usage| usage.zone == candidate.zone).unwrap_or_else(|| {
                let (zone, is_own) = (candidate.zone, candidate.is_in_own_zone);
                zones.push(Self { zone, is_own, used: 0.0, slots: 0.0, has_free_slot: false });
                zones.len() - 1
            });
            let usage = &mut zones[i];
            usage.used += f64::from(candidate.load.min(candidate.slots));
            usage.slots += f64::from(candidate.slots);
            usage.has_free_slot |= candidate.has_free_slot();
        }
        zones
    }

    /// Returns the number of requests at which `fraction` of the slots are in use, but at least one: a server with a single
    /// slot is of use, too.
    pub(super) fn mark(&self, fraction: f64) -> f64 {
        (self.slots * fraction).max(1.0)
    }

    /// Returns how many more requests the zone may get before `fraction` of its slots are in use.
    pub(super) fn room(&self, fraction: f64) -> f64 {
        if !self.has_free_slot {
            return 0.0;
        }
        (self.mark(fraction) - self.used).max(0.0)
    }
}
