//! The choice of the zone for the requests to a plain service.

use fuchsiabay_base::{Timestamp, ZoneName};

use super::{Candidate, CrossZoneReason, ZoneUsage, choose_least_loaded};

/// The fraction of a zone's slots above which requests leave it, and up to which it takes those of other zones. The slots above
/// it are a margin for requests of other instances that are not known yet, and remain for the zone's own requests.
const HIGH_WATERMARK: f64 = 2.0 / 3.0;

/// The fraction of the own zone's slots below which all requests stay again.
const LOW_WATERMARK: f64 = 0.4;

/// The weight of a new sample in the moving average of a zone's usage. There is one for each round of exchanges, so the average
/// covers the last few rounds.
const AVERAGE_WEIGHT: f64 = 0.3;

/// How long the averages are used after the last sample, in milliseconds. An instance that is cut off from its neighbours gets no
/// samples.
const AVERAGE_LIFETIME_MS: u64 = 1_500;

/// Decides how many requests leave the own zone.
///
/// Requests to plain services often take less time than loads take to arrive. A zone therefore counts as used as much as is known
/// now, or as it was used on average: its servers are not idle because they were at the last report.
#[derive(Clone, Debug, Default)]
pub(in crate::pool) struct ZoneSpill {
    is_spilling: bool,
    /// The moving averages of the used slots of the zones.
    averages: Vec<(ZoneName, f64)>,
    averages_until: Timestamp,
}

impl ZoneSpill {
    /// Returns whether requests leave the zone until its usage is below the low mark.
    pub(in crate::pool) const fn is_spilling(&self) -> bool {
        self.is_spilling
    }

    /// Records the usage of the zones after the loads of the neighbours were received.
    pub(in crate::pool) fn record_sample(&mut self, zones: &[ZoneUsage<'_>], now: Timestamp) {
        let former = std::mem::take(&mut self.averages);
        let is_recent = now < self.averages_until;
        let average = |usage: &ZoneUsage<'_>| {
            let known = former.iter().find(|(zone, _)| is_recent && zone == usage.zone);
            let known = known.map_or(usage.used, |(_, average)| *average);
            (usage.zone.clone(), known + AVERAGE_WEIGHT * (usage.used - known))
        };
        self.averages = zones.iter().map(average).collect();
        self.averages_until = now.plus_millis(AVERAGE_LIFETIME_MS);
    }

    /// Records the usage of the zones after a request was sent.
    pub(in crate::pool) fn record_usage(&mut self, mut zones: Vec<ZoneUsage<'_>>, now: Timestamp) {
        self.apply_averages(&mut zones, now);
        let Some(own) = zones.iter().find(|usage| usage.is_own) else {
            self.is_spilling = false;
            return;
        };
        let mark = own.mark(if self.is_spilling { LOW_WATERMARK } else { HIGH_WATERMARK });
        self.is_spilling = own.used >= mark;
    }

    /// Returns the index of the candidate that gets the next request, and why it is in another zone. `roll` is a random number
    /// from 0 to 1.
    ///
    /// A candidate is found whenever one has a free slot.
    pub(in crate::pool) fn choose(
        &self,
        candidates: &[Candidate<'_>],
        roll: f64,
        now: Timestamp,
    ) -> Option<(usize, Option<CrossZoneReason>)> {
        let mut zones = ZoneUsage::of_zones(candidates);
        self.apply_averages(&mut zones, now);
        let own = zones.iter().find(|usage| usage.is_own);
        let (share, reason) = own.map_or((1.0, CrossZoneReason::NoServer), |own| {
            (self.leaving_share(own), CrossZoneReason::AboveWatermark)
        });
        // A request that leaves has a roll below the share, so that their ratio is a random number again.
        let target = pick_by_room(&zones, roll / share);
        let i = match (own, target) {
            (Some(own), _) if own.has_free_slot && share == 0.0 => choose_in(candidates, own),
            (Some(own), Some(_)) if own.has_free_slot && roll >= share => choose_in(candidates, own),
            (_, Some(target)) => choose_in(candidates, target),
            (_, None) => choose_least_loaded(candidates),
        };
        i.map(|i| (i, (!candidates[i].is_in_own_zone).then_some(reason)))
    }

    fn apply_averages(&self, zones: &mut [ZoneUsage<'_>], now: Timestamp) {
        if now >= self.averages_until {
            return;
        }
        for usage in zones {
            let average = self.averages.iter().find(|(zone, _)| zone == usage.zone).map_or(0.0, |(_, n)| *n);
            usage.used = usage.used.max(average).min(usage.slots);
        }
    }

    /// Returns the fraction of the next requests that leave the zone, in proportion to the excess over the mark. All of them leave
    /// when one slot is left.
    fn leaving_share(&self, own: &ZoneUsage<'_>) -> f64 {
        let mark = own.mark(if self.is_spilling { LOW_WATERMARK } else { HIGH_WATERMARK });
        let excess = own.used + 1.0 - mark;
        if excess <= 0.0 {
            return 0.0;
        }
        excess / (own.slots - mark).max(excess)
    }
}

/// Picks another zone with room for a request below the high mark, with a probability in proportion to its room. If all
/// instances chose the zone with the most room, they would meet there before they learn of each other's requests.
fn pick_by_room<'z, 'a>(zones: &'z [ZoneUsage<'a>], roll: f64) -> Option<&'z ZoneUsage<'a>> {
    let others = || {
        let rooms =
            zones.iter().filter(|usage| !usage.is_own).map(|usage| (usage, usage.room(HIGH_WATERMARK)));
        rooms.filter(|(_, room)| *room >= 1.0)
    };
    let total: f64 = others().map(|(_, room)| room).sum();
    let mut left = roll * total;
    let picked = others().find(|(_, room)| {
        left -= room;
        left < 0.0
    });
    picked.or_else(|| others().next_back()).map(|(usage, _)| usage)
}

fn choose_in(candidates: &[Candidate<'_>], zone: &ZoneUsage<'_>) -> Option<usize> {
    let in_zone: Vec<usize> = (0..candidates.len()).filter(|i| candidates[*i].zone == zone.zone).collect();
    let subset: Vec<Candidate<'_>> = in_zone.iter().map(|i| candidates[*i]).collect();
    choose_least_loaded(&subset).map(|i| in_zone[i])
}
