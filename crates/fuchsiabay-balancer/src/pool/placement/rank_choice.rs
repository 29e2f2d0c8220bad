//! The choice among the ranks of lockstep groups.

use super::Candidate;

/// Returns the index of the rank that gets the next request.
///
/// All ranks of a group wait for the slowest one. Ranks whose cost is at most that of the mean load count as equal, because a
/// difference of some requests costs less time than a second prompt in the same pass. Among them, the order is: ranks that
/// process no prompt of this instance, ranks of the own zone, and ranks in the order in which this instance prefers them, which
/// keeps instances that do not know of each other's choices apart. Other ranks follow by their cost.
pub(in crate::pool) fn choose_rank(candidates: &[Candidate<'_>]) -> Option<usize> {
    let max_cost = max_equal_cost(candidates);
    let free = candidates.iter().enumerate().filter(|(_, candidate)| candidate.has_free_slot());
    let best = free.min_by_key(|(_, candidate)| {
        let cost = candidate.rounded_cost();
        (
            if cost > max_cost { cost } else { 0 },
            candidate.has_own_prefill,
            !candidate.is_in_own_zone,
            candidate.preference,
            candidate.own_tokens,
            fastrand::u32(..),
        )
    });
    best.map(|(i, _)| i)
}

/// Returns the rounded cost of a rank of the usual speed with the mean load, rounded up.
fn max_equal_cost(candidates: &[Candidate<'_>]) -> u64 {
    let total: u64 = candidates.iter().map(|candidate| u64::from(candidate.load)).sum();
    let mean = total.div_ceil(candidates.len().max(1) as u64);
    let fastest = candidates.iter().map(|candidate| candidate.slowdown).fold(f64::INFINITY, f64::min);
    ((mean + 1) as f64 * fastest * 100.0) as u64
}
