//! The choice among the servers that may run a request: which zone, and which server of it.

mod candidate;
mod cross_zone_reason;
mod cross_zone_traffic;
mod prefill;
mod rank_choice;
mod zone_spill;
mod zone_usage;

pub use cross_zone_reason::CrossZoneReason;
pub use cross_zone_traffic::CrossZoneChange;

pub(super) use candidate::Candidate;
pub(super) use cross_zone_traffic::CrossZoneTraffic;
pub(super) use prefill::pass_time_ms;
pub(super) use rank_choice::choose_rank;
pub(super) use zone_spill::ZoneSpill;
pub(super) use zone_usage::ZoneUsage;

/// Returns the index of the candidate with a free slot that has the lowest cost. The zone only breaks ties.
pub(super) fn choose_least_loaded(candidates: &[Candidate<'_>]) -> Option<usize> {
    let free = candidates.iter().enumerate().filter(|(_, candidate)| candidate.has_free_slot());
    let best = free.min_by_key(|(_, candidate)| {
        (candidate.rounded_cost(), candidate.own_tokens, !candidate.is_in_own_zone, fastrand::u32(..))
    });
    best.map(|(i, _)| i)
}
