//! Expert placement through a day of drifting popularity.

use fastrand::Rng;
use fuchsiabay_base::Timestamp;
use fuchsiabay_experts::{Placement, Planner, Popularity};

use crate::{Measure, Row, traffic::at_most};

const EXPERTS: u16 = 256;
const RANKS: u16 = 64;
/// Six slots for four experts a rank leave half again as many replicas as experts.
const SLOTS: u16 = 6;
const INTERVALS: u64 = 1_440;
const INTERVAL_MS: u64 = 60_000;
/// The first hour settles the placement and is not counted.
const SETTLING: u64 = 60;
const STRAGGLER: usize = 17;
const STRAGGLER_SPEED: f64 = 0.7;
const STRAGGLER_FROM: u64 = 480;

/// The popularity of each expert: a daily wave with its own phase and a random walk.
#[derive(Debug)]
struct Drift {
    rng: Rng,
    walk: Vec<f64>,
    phase: Vec<f64>,
}

impl Drift {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let walk = (0..EXPERTS).map(|_| rng.f64() * 2.0 - 1.0).collect();
        let phase = (0..EXPERTS).map(|_| rng.f64() * std::f64::consts::TAU).collect();
        Self { rng, walk, phase }
    }

    /// Returns the tokens of each expert in the next interval.
    fn tokens(&mut self, interval: u64) -> Vec<u64> {
        let day = interval as f64 / INTERVALS as f64 * std::f64::consts::TAU;
        (0..usize::from(EXPERTS))
            .map(|i| {
                self.walk[i] = self.walk[i] * 0.999 + (self.rng.f64() - 0.5) * 0.05;
                let noise = 1.0 + (self.rng.f64() - 0.5) * 0.1;
                (10_000.0 * (self.walk[i] + 0.8 * (day + self.phase[i]).sin()).exp() * noise) as u64
            })
            .collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    Static,
    /// Packs anew every so many intervals.
    Packed(u64),
    Planned,
}

#[derive(Debug)]
struct Day {
    skews: Vec<f64>,
    moves: u64,
    rounds: u64,
}

fn run(strategy: Strategy, seed: u64) -> Day {
    let mut drift = Drift::new(seed);
    let mut popularity = Popularity::new(EXPERTS.into(), Popularity::HALF_LIFE_MS, Timestamp::ZERO);
    let mut placement = Placement::round_robin(EXPERTS, RANKS, SLOTS);
    let planner = Planner::default();
    let mut day = Day { skews: Vec::new(), moves: 0, rounds: 0 };
    for interval in 0..INTERVALS {
        let tokens = drift.tokens(interval);
        let mut speeds = vec![1.0; RANKS.into()];
        if interval >= STRAGGLER_FROM {
            speeds[STRAGGLER] = STRAGGLER_SPEED;
        }
        let now: Vec<f64> = tokens.iter().map(|&tokens| tokens as f64).collect();
        if interval >= SETTLING {
            day.skews.push(placement.skew(&now, &speeds));
        }
        popularity.record(Timestamp::from_millis(interval * INTERVAL_MS), &tokens);
        let (next, moves) = match strategy {
            Strategy::Static => (placement.clone(), 0),
            Strategy::Packed(period) if !interval.is_multiple_of(period) => (placement.clone(), 0),
            Strategy::Packed(_) => {
                let next = Placement::packed(popularity.tokens(), &speeds, SLOTS);
                let moves = placement.move_count_to(&next);
                (next, moves)
            }
            Strategy::Planned => {
                let (next, moves) = planner.plan(&placement, popularity.tokens(), &speeds);
                (next, moves.len())
            }
        };
        placement = next;
        if interval >= SETTLING {
            day.moves += moves as u64;
            day.rounds += u64::from(moves > 0);
        }
    }
    day.skews.sort_by(f64::total_cmp);
    day
}

impl Day {
    fn quantile(&self, quantile: f64) -> f64 {
        self.skews[((self.skews.len() - 1) as f64 * quantile) as usize]
    }

    fn mean(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len() as f64
    }
}

/// Measures skew and moved weights through a day with one straggler from the eighth hour on.
pub fn expert_day(seed: u64) -> Measure {
    let strategies = [
        (Strategy::Static, "static placement"),
        (Strategy::Planned, "fuchsiabay"),
        (Strategy::Packed(1), "packed every minute"),
        (Strategy::Packed(5), "packed every 5 min"),
        (Strategy::Packed(15), "packed every 15 min"),
        (Strategy::Packed(30), "packed every 30 min"),
        (Strategy::Packed(60), "packed every 60 min"),
    ];
    let days: Vec<Day> = strategies.iter().map(|&(strategy, _)| run(strategy, seed)).collect();
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
                ("rounds_with_moves", day.rounds as f64),
            ],
        })
        .collect();
    let own = &days[1];
    // The rarest packing that is no more skewed is the cheapest one that the plan must be compared with.
    let equal = days[2..].iter().rfind(|day| day.mean() <= own.mean()).unwrap_or(&days[2]);
    let goals = vec![
        at_most("mean step-time skew at most 1.10 after settling", own.mean(), 1.10),
        at_most("p99 step-time skew at most 1.10 after settling", own.quantile(0.99), 1.10),
        at_most(
            "weights moved at most 0.2 of packing every minute",
            own.moves as f64 / days[2].moves.max(1) as f64,
            0.2,
        ),
        at_most(
            "weights moved at most 0.2 of the rarest packing with at most the same mean skew",
            own.moves as f64 / equal.moves.max(1) as f64,
            0.2,
        ),
    ];
    Measure {
        name: "expert_day",
        trace: "256 experts on 64 ranks with 6 slots, popularity drifting through 24 h, one rank at 0.7 of the speed",
        rows,
        goals,
    }
}
