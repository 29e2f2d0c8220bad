//! Benchmark of expert placement over a day in which the popularity of experts drifts.

use fastrand::Rng;
use fuchsiabay_base::Timestamp;
use fuchsiabay_experts::{Placement, Planner, Popularity};

use crate::{Benchmark, Row, admission_routing::at_most};

const EXPERTS: u16 = 256;
const RANKS: u16 = 64;
/// Slots of each rank. One replica of each of the 256 experts takes four slots of each of the 64 ranks, so six slots
/// allow 1.5 replicas of each expert on average.
const SLOTS_PER_RANK: u16 = 6;
/// Intervals of a day. The placement is planned once in each.
const INTERVALS_PER_DAY: u64 = 1_440;
/// The length of an interval, in milliseconds.
const INTERVAL_MS: u64 = 60_000;
/// The first hour, in intervals. It is not counted, because the placement is still settling.
const SETTLING_INTERVALS: u64 = 60;
/// The rank that becomes slow.
const STRAGGLER_RANK: usize = 17;
/// The speed of the straggler relative to the other ranks.
const STRAGGLER_SPEED: f64 = 0.7;
/// The interval from which on the straggler is slow.
const STRAGGLER_FROM_INTERVAL: u64 = 480;

/// The popularity of each expert: a daily wave with its own phase, and a random walk.
#[derive(Debug)]
struct PopularityModel {
    rng: Rng,
    random_walk: Vec<f64>,
    phase: Vec<f64>,
}

impl PopularityModel {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let random_walk = (0..EXPERTS).map(|_| rng.f64() * 2.0 - 1.0).collect();
        let phase = (0..EXPERTS).map(|_| rng.f64() * std::f64::consts::TAU).collect();
        Self { rng, random_walk, phase }
    }

    /// Returns the tokens of each expert in the next interval.
    fn tokens(&mut self, interval: u64) -> Vec<u64> {
        let angle = interval as f64 / INTERVALS_PER_DAY as f64 * std::f64::consts::TAU;
        (0..usize::from(EXPERTS))
            .map(|i| {
                self.random_walk[i] = self.random_walk[i] * 0.999 + (self.rng.f64() - 0.5) * 0.05;
                let noise = 1.0 + (self.rng.f64() - 0.5) * 0.1;
                (10_000.0 * (self.random_walk[i] + 0.8 * (angle + self.phase[i]).sin()).exp() * noise) as u64
            })
            .collect()
    }
}

/// How the placement is adapted to the popularity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementStrategy {
    Static,
    /// Computes a new packed placement every so many intervals.
    Packed(u64),
    /// Moves single experts as the planner of fuchsiabay decides.
    Planned,
}

#[derive(Debug)]
struct DayResult {
    /// The skew of each interval after settling, in ascending order.
    skews: Vec<f64>,
    moves: u64,
    intervals_with_moves: u64,
}

fn run(strategy: PlacementStrategy, seed: u64) -> DayResult {
    let mut model = PopularityModel::new(seed);
    let mut popularity = Popularity::new(EXPERTS.into(), Popularity::HALF_LIFE_MS, Timestamp::ZERO);
    let mut placement = Placement::round_robin(EXPERTS, RANKS, SLOTS_PER_RANK);
    let planner = Planner::default();
    let mut day = DayResult { skews: Vec::new(), moves: 0, intervals_with_moves: 0 };
    for interval in 0..INTERVALS_PER_DAY {
        let tokens = model.tokens(interval);
        let mut speeds = vec![1.0; RANKS.into()];
        if interval >= STRAGGLER_FROM_INTERVAL {
            speeds[STRAGGLER_RANK] = STRAGGLER_SPEED;
        }
        let current_tokens: Vec<f64> = tokens.iter().map(|&tokens| tokens as f64).collect();
        if interval >= SETTLING_INTERVALS {
            day.skews.push(placement.skew(&current_tokens, &speeds));
        }
        popularity.record(Timestamp::from_millis(interval * INTERVAL_MS), &tokens);
        let (next, moves) = match strategy {
            PlacementStrategy::Static => (placement.clone(), 0),
            PlacementStrategy::Packed(period) if !interval.is_multiple_of(period) => (placement.clone(), 0),
            PlacementStrategy::Packed(_) => {
                let next = Placement::packed(popularity.tokens(), &speeds, SLOTS_PER_RANK);
                let moves = placement.move_count_to(&next);
                (next, moves)
            }
            PlacementStrategy::Planned => {
                let (next, moves) = planner.plan(&placement, popularity.tokens(), &speeds);
                (next, moves.len())
            }
        };
        placement = next;
        if interval >= SETTLING_INTERVALS {
            day.moves += moves as u64;
            day.intervals_with_moves += u64::from(moves > 0);
        }
    }
    day.skews.sort_by(f64::total_cmp);
    day
}

impl DayResult {
    fn quantile(&self, quantile: f64) -> f64 {
        self.skews[((self.skews.len() - 1) as f64 * quantile) as usize]
    }

    fn mean(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len() as f64
    }
}

/// Measures the skew of step times and the number of moved weights over a day, with one straggler from the eighth hour
/// on.
pub fn expert_day(seed: u64) -> Benchmark {
    let strategies = [
        (PlacementStrategy::Static, "static placement"),
        (PlacementStrategy::Planned, "fuchsiabay"),
        (PlacementStrategy::Packed(1), "packed every minute"),
        (PlacementStrategy::Packed(5), "packed every 5 min"),
        (PlacementStrategy::Packed(15), "packed every 15 min"),
        (PlacementStrategy::Packed(30), "packed every 30 min"),
        (PlacementStrategy::Packed(60), "packed every 60 min"),
    ];
    let days: Vec<DayResult> = strategies.iter().map(|&(strategy, _)| run(strategy, seed)).collect();
    let rows: Vec<Row> = strategies
        .iter()
        .zip(&days)
        .map(|((_, name), day)| Row {
            policy: (*name).to_owned(),
            figures: vec![
                ("skew_mean", day.mean()),
                ("skew_p50", day.quantile(0.5)),
                ("skew_p99", day.quantile(0.99)),
                ("weights_moved", day.moves as f64),
                ("rounds_with_moves", day.intervals_with_moves as f64),
            ],
        })
        .collect();
    let fuchsiabay = &days[1];
    // Of the packings with at most the same skew, the one with the longest period moves the fewest weights, so it is
    // the strictest baseline.
    let rarest_equal_packing =
        days[2..].iter().rfind(|day| day.mean() <= fuchsiabay.mean()).unwrap_or(&days[2]);
    let goals = vec![
        at_most("mean step-time skew at most 1.10 after settling", fuchsiabay.mean(), 1.10),
        at_most("p99 step-time skew at most 1.10 after settling", fuchsiabay.quantile(0.99), 1.10),
        at_most(
            "weights moved at most 0.2 of packing every minute",
            fuchsiabay.moves as f64 / days[2].moves.max(1) as f64,
            0.2,
        ),
        at_most(
            "weights moved at most 0.2 of the rarest packing with at most the same mean skew",
            fuchsiabay.moves as f64 / rarest_equal_packing.moves.max(1) as f64,
            0.2,
        ),
    ];
    Benchmark {
        name: "expert_day",
        trace: "256 experts on 64 ranks with 6 slots, popularity drifting through 24 h, one rank at 0.7 of the speed",
        rows,
        goals,
    }
}
