//! Decides when and what to rebalance.

use crate::{Move, Placement};

/// Thresholds and limits of rebalancing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerLimits {
    /// Rebalancing starts only above this skew, so that noise does not move weights.
    pub start_skew: f64,
    /// Rebalancing stops at this skew. The difference to `start_skew` is the hysteresis.
    pub stop_skew: f64,
    /// The maximum number of moves in one round. The weight store is rate-limited, and a round must end before the
    /// popularity has drifted away.
    pub max_moves_per_round: usize,
    /// The fraction by which a move must reduce the variance of the ranks' times to justify its use of the weight
    /// store. The criterion is the variance and not the time of the slowest rank, because balanced shares leave
    /// several ranks equally slow, and a move that relieves only one of them does not shorten the step yet.
    pub min_gain_per_move: f64,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self { start_skew: 1.02, stop_skew: 1.005, max_moves_per_round: 16, min_gain_per_move: 0.005 }
    }
}

/// Plans rounds of moves.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    limits: PlannerLimits,
}

impl Planner {
    /// Returns a planner with `limits`.
    pub fn new(limits: PlannerLimits) -> Self {
        Self { limits }
    }

    /// Returns the next placement and the moves towards it.
    ///
    /// The shares of replicas are always balanced, because that moves no weights. Moves are added greedily
    /// while each has the minimum gain and the limits allow it.
    pub fn plan(&self, current: &Placement, tokens: &[f64], speeds: &[f64]) -> (Placement, Vec<Move>) {
        let mut best = current.clone();
        best.balance_shares(tokens, speeds);
        let mut moves = Vec::new();
        if best.skew(tokens, speeds) <= self.limits.start_skew {
            return (best, moves);
        }
        while moves.len() < self.limits.max_moves_per_round
            && best.skew(tokens, speeds) > self.limits.stop_skew
        {
            let Some((best_move, next)) = self.best_move(&best, tokens, speeds) else {
                break;
            };
            best = next;
            moves.push(best_move);
        }
        (best, moves)
    }

    /// Returns the move with the largest gain and the placement after it. It adds a replica of a hot expert of the
    /// slowest rank to one of the fastest ranks, in place of the replica there that serves the fewest tokens.
    fn best_move(&self, current: &Placement, tokens: &[f64], speeds: &[f64]) -> Option<(Move, Placement)> {
        let times = current.rank_times(tokens, speeds);
        let slowest = slowest_rank(&times)?;
        let mut hot: Vec<u16> = current.slots()[slowest].clone();
        let served = |expert: u16| {
            let share = current.replicas(expert).iter().find(|replica| usize::from(replica.0) == slowest);
            share.map_or(0.0, |replica| replica.1 * tokens[usize::from(expert)])
        };
        hot.sort_by(|&a, &b| served(b).total_cmp(&served(a)));
        let mut fast: Vec<usize> = (0..times.len()).collect();
        fast.sort_by(|&a, &b| times[a].total_cmp(&times[b]));

        let before = expected_variance(current, tokens, speeds);
        let mut best: Option<(f64, Move, Placement)> = None;
        for &expert in hot.iter().take(CANDIDATE_EXPERTS) {
            for &rank in fast.iter().take(CANDIDATE_RANKS) {
                let Some(evicted) = coldest_replicated_expert(current, rank, tokens) else {
                    continue;
                };
                let candidate = Move { expert, rank: rank as u16, evicted };
                let mut next = current.clone();
                if !next.apply_move(candidate) {
                    continue;
                }
                next.balance_shares(tokens, speeds);
                let after = expected_variance(&next, tokens, speeds);
                if best.as_ref().is_none_or(|(least, ..)| after < *least) {
                    best = Some((after, candidate, next));
                }
            }
        }
        let (after, best_move, next) = best?;
        (before - after > before * self.limits.min_gain_per_move).then_some((best_move, next))
    }
}

/// The number of hot experts of the slowest rank that are considered.
const CANDIDATE_EXPERTS: usize = 2;

/// The number of fast ranks that are considered.
const CANDIDATE_RANKS: usize = 6;

/// Returns the expert with several replicas that serves the fewest tokens on `rank`.
fn coldest_replicated_expert(placement: &Placement, rank: usize, tokens: &[f64]) -> Option<u16> {
    let served = |expert: u16| {
        let replicas = placement.replicas(expert);
        let own = replicas.iter().find(|replica| usize::from(replica.0) == rank)?;
        (replicas.len() > 1).then_some(own.1 * tokens[usize::from(expert)])
    };
    placement.slots()[rank]
        .iter()
        .filter_map(|&expert| served(expert).map(|tokens| (tokens, expert)))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, expert)| expert)
}

fn slowest_rank(times: &[f64]) -> Option<usize> {
    (0..times.len()).max_by(|&a, &b| times[a].total_cmp(&times[b]))
}

/// Returns the variance of the ranks' times, up to a constant factor, including what fluctuations in the next round
/// are expected to add.
///
/// Placements whose ranks take equal times can still differ: a rank that serves a large part of one expert follows
/// every fluctuation of that expert, while more replicas spread the fluctuation.
fn expected_variance(placement: &Placement, tokens: &[f64], speeds: &[f64]) -> f64 {
    let times = placement.rank_times(tokens, speeds);
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    let variance: f64 = times.iter().map(|time| (time - mean).powi(2)).sum();
    let noise: f64 = (0_u16..)
        .zip(tokens)
        .flat_map(|(expert, tokens)| placement.replicas(expert).iter().map(move |replica| (replica, tokens)))
        .map(|(&(rank, share), tokens)| (FLUCTUATION * tokens * share / speeds[usize::from(rank)]).powi(2))
        .sum();
    variance + noise
}

/// The expected relative change of an expert's tokens from one round to the next.
const FLUCTUATION: f64 = 0.05;
