//! Measures of admission and routing.

use fuchsiabay_admission::Limits;
use hdrhistogram::Histogram;

use crate::{
    Goal, Measure, Row,
    fleet::{Choice, Fate, Fifo, Managed, Outcome, PresetLimits, Settings, run},
    trace::{Arrival, Source, TOKEN_MS, generate, workspaces},
};

const FIFO_CHOICES: [(Choice, &str); 3] = [
    (Choice::RoundRobin, "round robin"),
    (Choice::Random, "random"),
    (Choice::LaggedLeastLoaded, "lagged least-loaded"),
];

const OWN_NAME: &str = "fuchsiabay";

/// The sizes of both deployments: 16 model backend servers in three availability zones.
fn deployment(seed: u64) -> Settings {
    Settings { servers: 16, zones: 3, slots: 8, seed, zone_loss_ms: None }
}

/// Returns how many requests of `mean_tokens` tokens a fleet finishes per second.
fn requests_per_second(settings: Settings, mean_tokens: f64) -> f64 {
    settings.servers as f64 * f64::from(settings.slots) * 1000.0 / (mean_tokens * TOKEN_MS as f64)
}

fn preset() -> PresetLimits {
    let limits = Limits {
        slots: 0,
        queue_limit: 64,
        long_share_percent: 75,
        ageing_ms: 20_000,
        long_work_tokens: 400,
        pause_after_ms: Some(100),
    };
    PresetLimits { limits, spill_over_ms: 50, retry_budget_percent: 10 }
}

/// Runs every policy on one trace, fuchsiabay last.
fn run_all(settings: Settings, arrivals: &[Arrival]) -> Vec<(&'static str, Vec<Outcome>, u64)> {
    let mut all: Vec<_> = FIFO_CHOICES
        .iter()
        .map(|&(choice, name)| {
            let mut policy = Fifo::new(choice, settings.servers, settings.seed);
            (name, run(settings, arrivals, &mut policy), 0)
        })
        .collect();
    let mut policy = Managed::new(settings, preset());
    let outcomes = run(settings, arrivals, &mut policy);
    all.push((OWN_NAME, outcomes, policy.retries));
    all
}

fn percentile(values: impl Iterator<Item = u64>, quantile: f64) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    for value in values {
        histogram.record(value).expect("the histogram resizes itself");
    }
    histogram.value_at_quantile(quantile) as f64
}

fn served<'a>(
    arrivals: &'a [Arrival],
    outcomes: &'a [Outcome],
    keep: impl Fn(&Arrival) -> bool + 'a,
) -> impl Iterator<Item = (&'a Arrival, &'a Outcome)> {
    arrivals
        .iter()
        .zip(outcomes)
        .filter(move |(arrival, outcome)| keep(arrival) && outcome.started_ms.is_some())
}

fn in_time(arrival: &Arrival, outcome: &Outcome) -> bool {
    outcome.fate == Fate::Answered && outcome.ended_ms <= arrival.deadline_ms
}

/// Gate look-ups and quick summaries beside drying logs, at the sizes of Thiaroye.
pub fn head_of_line(seed: u64) -> Measure {
    let settings = deployment(seed);
    let short = Source {
        workspaces: workspaces("gate", 8),
        per_second: 32.0,
        from_ms: 0,
        to_ms: 1_800_000,
        tokens: 20..60,
        deadline_ms: 600_000,
        long: false,
    };
    let long = Source {
        workspaces: workspaces("logs", 2),
        per_second: 1.0,
        tokens: 1_500..4_000,
        deadline_ms: 1_800_000,
        long: true,
        ..short.clone()
    };
    let arrivals = generate(&[short, long], seed);
    let wait = |outcomes: &[Outcome], quantile| {
        let waits = served(&arrivals, outcomes, |arrival| !arrival.long)
            .map(|(arrival, outcome)| outcome.started_ms.unwrap_or(0) - arrival.at_ms);
        percentile(waits, quantile)
    };
    let long_time = |outcomes: &[Outcome]| {
        let times = served(&arrivals, outcomes, |arrival| arrival.long)
            .map(|(arrival, outcome)| outcome.ended_ms - arrival.at_ms);
        percentile(times, 0.99)
    };
    let all = run_all(settings, &arrivals);
    let rows: Vec<Row> = all
        .iter()
        .map(|(name, outcomes, _)| Row {
            policy: (*name).to_owned(),
            figures: vec![
                ("short_wait_p50_ms", wait(outcomes, 0.5)),
                ("short_wait_p99_ms", wait(outcomes, 0.99)),
                ("long_time_p99_ms", long_time(outcomes)),
                ("answered", outcomes.iter().filter(|outcome| outcome.fate == Fate::Answered).count() as f64),
                ("requests", outcomes.len() as f64),
            ],
        })
        .collect();
    let figure = |policy: usize, figure: usize| rows[policy].figures[figure].1;
    let goals = vec![
        at_most(
            "p99 wait of short work at most 0.1 of round robin's",
            figure(3, 1) / figure(0, 1).max(1.0),
            0.1,
        ),
        at_most(
            "p99 wait of short work at most 0.333 of lagged least-loaded's",
            figure(3, 1) / figure(2, 1).max(1.0),
            1.0 / 3.0,
        ),
        at_most("p99 time of long work at most 1.2 of round robin's", figure(3, 2) / figure(0, 2), 1.2),
        at_most(
            "p99 time of long work at most 1.2 of lagged least-loaded's",
            figure(3, 2) / figure(2, 2),
            1.2,
        ),
    ];
    Measure {
        name: "head_of_line",
        trace: "32 short requests/s of 20 to 60 tokens and 1 drying log/s of 1500 to 4000 tokens, 30 min",
        rows,
        goals,
    }
}

/// The bakers' burst to three times the capacity, at the sizes of Crackleleaf.
pub fn crest(seed: u64) -> Measure {
    let settings = deployment(seed);
    let mean_tokens = 90.0;
    let capacity = requests_per_second(settings, mean_tokens);
    let calm = Source {
        workspaces: workspaces("bakery", 10),
        per_second: capacity * 0.4,
        from_ms: 0,
        to_ms: BURST_FROM_MS,
        tokens: 40..140,
        deadline_ms: 10_000,
        long: false,
    };
    let burst =
        Source { per_second: capacity * 3.0, from_ms: BURST_FROM_MS, to_ms: BURST_TO_MS, ..calm.clone() };
    let after = Source { from_ms: BURST_TO_MS, to_ms: BURST_TO_MS + 60_000, ..calm.clone() };
    let arrivals = generate(&[calm, burst, after], seed);
    let capacity_ms =
        settings.servers as f64 * f64::from(settings.slots) * (BURST_TO_MS - BURST_FROM_MS) as f64;
    let goodput = |outcomes: &[Outcome]| {
        let useful: u64 = arrivals
            .iter()
            .zip(outcomes)
            .filter(|(arrival, outcome)| in_time(arrival, outcome))
            .map(|(_, outcome)| {
                let started = outcome.started_ms.unwrap_or(outcome.ended_ms);
                outcome.ended_ms.min(BURST_TO_MS).saturating_sub(started.max(BURST_FROM_MS))
            })
            .sum();
        useful as f64 / capacity_ms
    };
    let refusal_times = |outcomes: &[Outcome]| -> Vec<u64> {
        arrivals
            .iter()
            .zip(outcomes)
            .filter(|(_, outcome)| matches!(outcome.fate, Fate::Refused | Fate::Lost))
            .map(|(arrival, outcome)| outcome.ended_ms - arrival.at_ms)
            .collect()
    };
    let lateness = |outcomes: &[Outcome]| refusal_times(outcomes).into_iter().max().unwrap_or(0) as f64;
    let late_refusals = |outcomes: &[Outcome]| {
        refusal_times(outcomes).into_iter().filter(|&ms| ms > LATE_REFUSAL_MS).count() as f64
    };
    let rows: Vec<Row> = run_all(settings, &arrivals)
        .iter()
        .map(|(name, outcomes, _)| Row {
            policy: (*name).to_owned(),
            figures: vec![
                ("goodput_of_capacity", goodput(outcomes)),
                ("latest_refusal_ms", lateness(outcomes)),
                ("late_refusals", late_refusals(outcomes)),
                (
                    "answered_in_time",
                    arrivals
                        .iter()
                        .zip(outcomes)
                        .filter(|(arrival, outcome)| in_time(arrival, outcome))
                        .count() as f64,
                ),
                ("late_answers", late_answers(&arrivals, outcomes)),
                ("requests", arrivals.len() as f64),
            ],
        })
        .collect();
    let own = &rows[3].figures;
    let goals = vec![
        at_least("answered within the deadline at least 0.95 of what the servers can do", own[0].1, 0.95),
        at_most("no refusal later than 50 ms", own[1].1, 50.0),
    ];
    Measure {
        name: "crest",
        trace: "bakers' burst from 0.4 to 3 times the capacity for 30 s, deadline 10 s, 40 to 140 tokens",
        rows,
        goals,
    }
}

/// A refusal after this time is late, in milliseconds.
const LATE_REFUSAL_MS: u64 = 50;

const BURST_FROM_MS: u64 = 60_000;
const BURST_TO_MS: u64 = 90_000;

fn late_answers(arrivals: &[Arrival], outcomes: &[Outcome]) -> f64 {
    let late = |(arrival, outcome): &(&Arrival, &Outcome)| {
        outcome.fate == Fate::Answered && outcome.ended_ms > arrival.deadline_ms
    };
    arrivals.iter().zip(outcomes).filter(late).count() as f64
}

/// One workspace sends 20 times its share; nine small ones go on as before.
pub fn smallest_share(seed: u64) -> Measure {
    let settings = deployment(seed);
    let mean_tokens = 100.0;
    let capacity = requests_per_second(settings, mean_tokens);
    let share = capacity / 10.0;
    let small = Source {
        workspaces: workspaces("small", 9),
        per_second: share * 9.0 * 0.7,
        from_ms: 0,
        to_ms: 300_000,
        tokens: 50..150,
        deadline_ms: 15_000,
        long: false,
    };
    let large = Source {
        workspaces: workspaces("large", 1),
        per_second: share * 20.0,
        from_ms: 30_000,
        ..small.clone()
    };
    let lone = generate(std::slice::from_ref(&small), seed);
    let both = generate(&[small, large], seed);
    let figures = |arrivals: &[Arrival], outcomes: &[Outcome]| {
        let mine = |arrival: &Arrival| arrival.workspace.as_str().starts_with("small");
        let sent = arrivals.iter().filter(|arrival| mine(arrival)).count() as f64;
        let answered = arrivals
            .iter()
            .zip(outcomes)
            .filter(|(arrival, outcome)| mine(arrival) && in_time(arrival, outcome))
            .count() as f64;
        let times: Vec<u64> = served(arrivals, outcomes, mine)
            .filter(|(arrival, outcome)| in_time(arrival, outcome))
            .map(|(arrival, outcome)| outcome.ended_ms - arrival.at_ms)
            .collect();
        let mean = times.iter().sum::<u64>() as f64 / times.len().max(1) as f64;
        let smallest = smallest_answered(arrivals, outcomes);
        (answered / sent, mean, smallest)
    };
    let lone_runs = run_all(settings, &lone);
    let both_runs = run_all(settings, &both);
    let rows: Vec<Row> = lone_runs
        .iter()
        .zip(&both_runs)
        .map(|((name, lone_outcomes, _), (_, both_outcomes, _))| {
            let alone = figures(&lone, lone_outcomes);
            let beside = figures(&both, both_outcomes);
            Row {
                policy: (*name).to_owned(),
                figures: vec![
                    ("answered_alone", alone.0),
                    ("answered_beside_large", beside.0),
                    ("worst_workspace", beside.2),
                    ("mean_time_alone_ms", alone.1),
                    ("mean_time_beside_large_ms", beside.1),
                ],
            }
        })
        .collect();
    let own = &rows[3].figures;
    let goals = vec![
        at_least("answered share of small workspaces at least 0.95 of alone", own[1].1 / own[0].1, 0.95),
        at_least(
            "answered share of the worst small workspace at least 0.95 of alone",
            own[2].1 / own[0].1,
            0.95,
        ),
    ];
    Measure {
        name: "smallest_share",
        trace: "nine small workspaces at 0.7 of their share, one at 20 times its share",
        rows,
        goals,
    }
}

fn smallest_answered(arrivals: &[Arrival], outcomes: &[Outcome]) -> f64 {
    workspaces("small", 9)
        .iter()
        .map(|workspace| {
            let mine: Vec<_> = arrivals
                .iter()
                .zip(outcomes)
                .filter(|(arrival, _)| arrival.workspace == *workspace)
                .collect();
            let answered = mine.iter().filter(|(arrival, outcome)| in_time(arrival, outcome)).count();
            answered as f64 / mine.len().max(1) as f64
        })
        .fold(1.0, f64::min)
}

const LOSS_MS: u64 = 60_000;

/// A third of the servers dies; what remains could carry the load.
pub fn zone_loss(seed: u64) -> Measure {
    let settings = Settings { servers: 15, zone_loss_ms: Some(LOSS_MS), ..deployment(seed) };
    let mean_tokens = 90.0;
    let capacity = requests_per_second(settings, mean_tokens);
    let steady = Source {
        workspaces: workspaces("bakery", 10),
        per_second: capacity * 0.55,
        from_ms: 0,
        to_ms: 180_000,
        tokens: 40..140,
        deadline_ms: 10_000,
        long: false,
    };
    let arrivals = generate(&[steady], seed);
    let goodput = |outcomes: &[Outcome], from: u64, to: u64| {
        let window = |(arrival, outcome): &(&Arrival, &Outcome)| {
            in_time(arrival, outcome) && (from..to).contains(&outcome.ended_ms)
        };
        arrivals.iter().zip(outcomes).filter(window).count() as f64 * 1000.0 / (to - from) as f64
    };
    let runs = run_all(settings, &arrivals);
    let rows: Vec<Row> = runs
        .iter()
        .map(|(name, outcomes, retries)| {
            let before = goodput(outcomes, 30_000, LOSS_MS);
            let after = goodput(outcomes, LOSS_MS + 10_000, LOSS_MS + 30_000);
            Row {
                policy: (*name).to_owned(),
                figures: vec![
                    ("goodput_before_per_s", before),
                    ("goodput_10s_after_per_s", after),
                    ("goodput_regained", after / before),
                    ("retries_of_traffic", *retries as f64 / arrivals.len() as f64),
                    ("lost", outcomes.iter().filter(|outcome| outcome.fate != Fate::Answered).count() as f64),
                ],
            }
        })
        .collect();
    let own = &rows[3].figures;
    let goals = vec![
        at_least("back to 0.95 of goodput within 10 s", own[2].1, 0.95),
        at_most("retries at most 0.10 of traffic", own[3].1, 0.10),
    ];
    Measure {
        name: "zone_loss",
        trace: "15 servers in three zones at 0.55 of capacity, one zone dies after 60 s",
        rows,
        goals,
    }
}

pub(crate) fn at_most(goal: &'static str, figure: f64, limit: f64) -> Goal {
    Goal { goal, figure, met: figure <= limit }
}

pub(crate) fn at_least(goal: &'static str, figure: f64, limit: f64) -> Goal {
    Goal { goal, figure, met: figure >= limit }
}
