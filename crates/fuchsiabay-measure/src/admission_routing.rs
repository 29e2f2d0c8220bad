//! Benchmarks of admission and routing.

use fuchsiabay_admission::Limits;
use hdrhistogram::Histogram;

use crate::{
    Benchmark, Goal, Row,
    fleet::{
        FifoPolicy, FleetSettings, FuchsiabayPolicy, Outcome, PresetSettings, RequestStatus, ServerChoice,
        run,
    },
    trace::{Arrival, DECODE_MS_PER_TOKEN, Source, generate, workspaces},
};

const BASELINES: [(ServerChoice, &str); 3] = [
    (ServerChoice::RoundRobin, "round robin"),
    (ServerChoice::Random, "random"),
    (ServerChoice::LaggedLeastLoaded, "lagged least-loaded"),
];

const FUCHSIABAY: &str = "fuchsiabay";

/// The size of the Thiaroye and Crackleleaf deployments: 16 model backend servers in three availability zones.
fn deployment(seed: u64) -> FleetSettings {
    FleetSettings { servers: 16, zones: 3, slots: 8, seed, zone_loss_ms: None }
}

/// Returns how many requests of `mean_tokens` tokens a fleet finishes per second.
fn requests_per_second(settings: FleetSettings, mean_tokens: f64) -> f64 {
    settings.servers as f64 * f64::from(settings.slots) * 1000.0 / (mean_tokens * DECODE_MS_PER_TOKEN as f64)
}

fn preset_settings() -> PresetSettings {
    let limits = Limits {
        slots: 0,
        queue_limit: 64,
        long_share_percent: 75,
        ageing_ms: 20_000,
        long_work_tokens: 400,
        pause_after_ms: Some(100),
    };
    PresetSettings { limits, spill_over_ms: 50, retry_budget_percent: 10 }
}

/// Runs every policy on one trace: the baselines in the order of [`BASELINES`], then fuchsiabay. Returns name, outcomes
/// and number of retries of each.
fn run_all(settings: FleetSettings, arrivals: &[Arrival]) -> Vec<(&'static str, Vec<Outcome>, u64)> {
    let mut all: Vec<_> = BASELINES
        .iter()
        .map(|&(choice, name)| {
            let mut policy = FifoPolicy::new(choice, settings.servers, settings.seed);
            (name, run(settings, arrivals, &mut policy), 0)
        })
        .collect();
    let mut policy = FuchsiabayPolicy::new(settings, preset_settings());
    let outcomes = run(settings, arrivals, &mut policy);
    all.push((FUCHSIABAY, outcomes, policy.retries));
    all
}

fn percentile(values: impl Iterator<Item = u64>, quantile: f64) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).expect("a histogram supports three significant digits");
    for value in values {
        histogram.record(value).expect("a histogram without an upper bound resizes itself");
    }
    histogram.value_at_quantile(quantile) as f64
}

/// Returns the requests that were started and whose arrival matches.
fn started_requests<'a>(
    arrivals: &'a [Arrival],
    outcomes: &'a [Outcome],
    matches: impl Fn(&Arrival) -> bool + 'a,
) -> impl Iterator<Item = (&'a Arrival, &'a Outcome)> {
    arrivals
        .iter()
        .zip(outcomes)
        .filter(move |(arrival, outcome)| matches(arrival) && outcome.started_ms.is_some())
}

/// Returns whether a request was answered within its deadline.
fn answered_in_time(arrival: &Arrival, outcome: &Outcome) -> bool {
    outcome.status == RequestStatus::Answered && outcome.ended_ms <= arrival.deadline_ms
}

/// Short look-ups and summaries beside long summaries of drying logs, at the size of the Thiaroye deployment. Shows
/// whether short work waits behind long work.
pub fn head_of_line(seed: u64) -> Benchmark {
    let settings = deployment(seed);
    let short = Source {
        workspaces: workspaces("gate", 8),
        requests_per_second: 32.0,
        from_ms: 0,
        to_ms: 1_800_000,
        tokens: 20..60,
        deadline_ms: 600_000,
        long: false,
    };
    let long = Source {
        workspaces: workspaces("logs", 2),
        requests_per_second: 1.0,
        tokens: 1_500..4_000,
        deadline_ms: 1_800_000,
        long: true,
        ..short.clone()
    };
    let arrivals = generate(&[short, long], seed);
    let short_wait = |outcomes: &[Outcome], quantile| {
        let waits = started_requests(&arrivals, outcomes, |arrival| !arrival.long)
            .map(|(arrival, outcome)| outcome.started_ms.unwrap_or(0) - arrival.at_ms);
        percentile(waits, quantile)
    };
    let long_duration = |outcomes: &[Outcome]| {
        let times = started_requests(&arrivals, outcomes, |arrival| arrival.long)
            .map(|(arrival, outcome)| outcome.ended_ms - arrival.at_ms);
        percentile(times, 0.99)
    };
    let all = run_all(settings, &arrivals);
    let rows: Vec<Row> = all
        .iter()
        .map(|(name, outcomes, _)| Row {
            policy: (*name).to_owned(),
            figures: vec![
                ("short_wait_p50_ms", short_wait(outcomes, 0.5)),
                ("short_wait_p99_ms", short_wait(outcomes, 0.99)),
                ("long_time_p99_ms", long_duration(outcomes)),
                (
                    "answered",
                    outcomes.iter().filter(|outcome| outcome.status == RequestStatus::Answered).count()
                        as f64,
                ),
                ("requests", outcomes.len() as f64),
            ],
        })
        .collect();
    // Row 0 is round robin, 2 lagged least-loaded and 3 fuchsiabay. Figure 1 is the p99 wait of short work, 2 the p99
    // time of long work.
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
    Benchmark {
        name: "head_of_line",
        trace: "32 short requests/s of 20 to 60 tokens and 1 drying log/s of 1500 to 4000 tokens, 30 min",
        rows,
        goals,
    }
}

/// A burst at three times the capacity, at the size of the Crackleleaf deployment. Shows how many requests are answered
/// in time and how late the others are refused.
pub fn crest(seed: u64) -> Benchmark {
    let settings = deployment(seed);
    let mean_tokens = 90.0;
    let capacity = requests_per_second(settings, mean_tokens);
    let calm = Source {
        workspaces: workspaces("bakery", 10),
        requests_per_second: capacity * 0.4,
        from_ms: 0,
        to_ms: BURST_FROM_MS,
        tokens: 40..140,
        deadline_ms: 10_000,
        long: false,
    };
    let burst = Source {
        requests_per_second: capacity * 3.0,
        from_ms: BURST_FROM_MS,
        to_ms: BURST_TO_MS,
        ..calm.clone()
    };
    let after = Source { from_ms: BURST_TO_MS, to_ms: BURST_TO_MS + 60_000, ..calm.clone() };
    let arrivals = generate(&[calm, burst, after], seed);
    let capacity_ms =
        settings.servers as f64 * f64::from(settings.slots) * (BURST_TO_MS - BURST_FROM_MS) as f64;
    let goodput = |outcomes: &[Outcome]| {
        let useful: u64 = arrivals
            .iter()
            .zip(outcomes)
            .filter(|(arrival, outcome)| answered_in_time(arrival, outcome))
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
            .filter(|(_, outcome)| matches!(outcome.status, RequestStatus::Refused | RequestStatus::Lost))
            .map(|(arrival, outcome)| outcome.ended_ms - arrival.at_ms)
            .collect()
    };
    let latest_refusal = |outcomes: &[Outcome]| refusal_times(outcomes).into_iter().max().unwrap_or(0) as f64;
    let late_refusals = |outcomes: &[Outcome]| {
        refusal_times(outcomes).into_iter().filter(|&ms| ms > LATE_REFUSAL_MS).count() as f64
    };
    let rows: Vec<Row> = run_all(settings, &arrivals)
        .iter()
        .map(|(name, outcomes, _)| Row {
            policy: (*name).to_owned(),
            figures: vec![
                ("goodput_of_capacity", goodput(outcomes)),
                ("latest_refusal_ms", latest_refusal(outcomes)),
                ("late_refusals", late_refusals(outcomes)),
                (
                    "answered_in_time",
                    arrivals
                        .iter()
                        .zip(outcomes)
                        .filter(|(arrival, outcome)| answered_in_time(arrival, outcome))
                        .count() as f64,
                ),
                ("late_answers", late_answers(&arrivals, outcomes)),
                ("requests", arrivals.len() as f64),
            ],
        })
        .collect();
    let fuchsiabay = &rows[3].figures;
    let goals = vec![
        at_least(
            "answered within the deadline at least 0.95 of what the servers can do",
            fuchsiabay[0].1,
            0.95,
        ),
        at_most("no refusal later than 50 ms", fuchsiabay[1].1, 50.0),
    ];
    Benchmark {
        name: "crest",
        trace: "bakers' burst from 0.4 to 3 times the capacity for 30 s, deadline 10 s, 40 to 140 tokens",
        rows,
        goals,
    }
}

/// The time after which a refusal counts as late, in milliseconds.
const LATE_REFUSAL_MS: u64 = 50;

/// When the burst starts and ends, in milliseconds.
const BURST_FROM_MS: u64 = 60_000;
const BURST_TO_MS: u64 = 90_000;

fn late_answers(arrivals: &[Arrival], outcomes: &[Outcome]) -> f64 {
    let late = |(arrival, outcome): &(&Arrival, &Outcome)| {
        outcome.status == RequestStatus::Answered && outcome.ended_ms > arrival.deadline_ms
    };
    arrivals.iter().zip(outcomes).filter(late).count() as f64
}

/// One workspace sends 20 times its fair share, while nine small ones send as before. Shows whether the small ones are
/// answered as if they were alone.
pub fn smallest_share(seed: u64) -> Benchmark {
    let settings = deployment(seed);
    let mean_tokens = 100.0;
    let capacity = requests_per_second(settings, mean_tokens);
    let fair_share = capacity / 10.0;
    let small = Source {
        workspaces: workspaces("small", 9),
        requests_per_second: fair_share * 9.0 * 0.7,
        from_ms: 0,
        to_ms: 300_000,
        tokens: 50..150,
        deadline_ms: 15_000,
        long: false,
    };
    let large = Source {
        workspaces: workspaces("large", 1),
        requests_per_second: fair_share * 20.0,
        from_ms: 30_000,
        ..small.clone()
    };
    let small_only = generate(std::slice::from_ref(&small), seed);
    let both = generate(&[small, large], seed);
    let figures = |arrivals: &[Arrival], outcomes: &[Outcome]| {
        let is_small = |arrival: &Arrival| arrival.workspace.as_str().starts_with("small");
        let sent = arrivals.iter().filter(|arrival| is_small(arrival)).count() as f64;
        let answered = arrivals
            .iter()
            .zip(outcomes)
            .filter(|(arrival, outcome)| is_small(arrival) && answered_in_time(arrival, outcome))
            .count() as f64;
        let times: Vec<u64> = started_requests(arrivals, outcomes, is_small)
            .filter(|(arrival, outcome)| answered_in_time(arrival, outcome))
            .map(|(arrival, outcome)| outcome.ended_ms - arrival.at_ms)
            .collect();
        let mean = times.iter().sum::<u64>() as f64 / times.len().max(1) as f64;
        let smallest = worst_answered_share(arrivals, outcomes);
        (answered / sent, mean, smallest)
    };
    let small_only_runs = run_all(settings, &small_only);
    let both_runs = run_all(settings, &both);
    let rows: Vec<Row> = small_only_runs
        .iter()
        .zip(&both_runs)
        .map(|((name, small_only_outcomes, _), (_, both_outcomes, _))| {
            let alone = figures(&small_only, small_only_outcomes);
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
    let fuchsiabay = &rows[3].figures;
    let goals = vec![
        at_least(
            "answered share of small workspaces at least 0.95 of alone",
            fuchsiabay[1].1 / fuchsiabay[0].1,
            0.95,
        ),
        at_least(
            "answered share of the worst small workspace at least 0.95 of alone",
            fuchsiabay[2].1 / fuchsiabay[0].1,
            0.95,
        ),
    ];
    Benchmark {
        name: "smallest_share",
        trace: "nine small workspaces at 0.7 of their share, one at 20 times its share",
        rows,
        goals,
    }
}

/// Returns the lowest share of requests that a small workspace had answered in time.
fn worst_answered_share(arrivals: &[Arrival], outcomes: &[Outcome]) -> f64 {
    workspaces("small", 9)
        .iter()
        .map(|workspace| {
            let requests: Vec<_> = arrivals
                .iter()
                .zip(outcomes)
                .filter(|(arrival, _)| arrival.workspace == *workspace)
                .collect();
            let answered =
                requests.iter().filter(|(arrival, outcome)| answered_in_time(arrival, outcome)).count();
            answered as f64 / requests.len().max(1) as f64
        })
        .fold(1.0, f64::min)
}

/// When the zone fails, in milliseconds.
const ZONE_LOSS_MS: u64 = 60_000;

/// One of three zones fails, and the other servers have enough capacity for the whole load. Shows how soon goodput
/// recovers and how many retries that takes.
pub fn zone_loss(seed: u64) -> Benchmark {
    let settings = FleetSettings { servers: 15, zone_loss_ms: Some(ZONE_LOSS_MS), ..deployment(seed) };
    let mean_tokens = 90.0;
    let capacity = requests_per_second(settings, mean_tokens);
    let steady = Source {
        workspaces: workspaces("bakery", 10),
        requests_per_second: capacity * 0.55,
        from_ms: 0,
        to_ms: 180_000,
        tokens: 40..140,
        deadline_ms: 10_000,
        long: false,
    };
    let arrivals = generate(&[steady], seed);
    let goodput = |outcomes: &[Outcome], from: u64, to: u64| {
        let window = |(arrival, outcome): &(&Arrival, &Outcome)| {
            answered_in_time(arrival, outcome) && (from..to).contains(&outcome.ended_ms)
        };
        arrivals.iter().zip(outcomes).filter(window).count() as f64 * 1000.0 / (to - from) as f64
    };
    let runs = run_all(settings, &arrivals);
    let rows: Vec<Row> = runs
        .iter()
        .map(|(name, outcomes, retries)| {
            let before = goodput(outcomes, 30_000, ZONE_LOSS_MS);
            let after = goodput(outcomes, ZONE_LOSS_MS + 10_000, ZONE_LOSS_MS + 30_000);
            Row {
                policy: (*name).to_owned(),
                figures: vec![
                    ("goodput_before_per_s", before),
                    ("goodput_10s_after_per_s", after),
                    ("goodput_regained", after / before),
                    ("retries_of_traffic", *retries as f64 / arrivals.len() as f64),
                    (
                        "lost",
                        outcomes.iter().filter(|outcome| outcome.status != RequestStatus::Answered).count()
                            as f64,
                    ),
                ],
            }
        })
        .collect();
    let fuchsiabay = &rows[3].figures;
    let goals = vec![
        at_least("back to 0.95 of goodput within 10 s", fuchsiabay[2].1, 0.95),
        at_most("retries at most 0.10 of traffic", fuchsiabay[3].1, 0.10),
    ];
    Benchmark {
        name: "zone_loss",
        trace: "15 servers in three zones at 0.55 of capacity, one zone dies after 60 s",
        rows,
        goals,
    }
}

/// Returns a goal that is met if `figure` is at most `limit`.
pub(crate) fn at_most(goal: &'static str, figure: f64, limit: f64) -> Goal {
    Goal { goal, figure, met: figure <= limit }
}

/// Returns a goal that is met if `figure` is at least `limit`.
pub(crate) fn at_least(goal: &'static str, figure: f64, limit: f64) -> Goal {
    Goal { goal, figure, met: figure >= limit }
}
