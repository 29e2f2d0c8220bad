//! The three policy measures.

use fuchsiabay_admission::Limits;
use fuchsiabay_base::Timestamp;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::{
    balancer::{LeastLoaded, Random, RoundRobin, Routed},
    job::Job,
    server::{MS_PER_TOKEN, SLOTS, Server},
    simulation::Simulation,
    workload::{Source, draw},
};

const SERVERS: usize = 16;
const ENTRIES: usize = 4;
/// The time after the last arrival in which admitted work ends, in milliseconds.
const TAIL_MS: u64 = 300_000;
/// What all servers can do, in tokens per second.
const CAPACITY: f64 = (SERVERS as u64 * SLOTS as u64 * 1000 / MS_PER_TOKEN) as f64;
/// A refusal later than this after the arrival counts as late, in milliseconds.
const LATE_REFUSAL_MS: u64 = 50;
/// The longest time that the histograms hold, in milliseconds.
const MAX_MS: u64 = 3_600_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Fuchsiabay,
    RoundRobin,
    Random,
    LeastLoaded,
}

impl Policy {
    const ALL: [Self; 4] = [Self::Fuchsiabay, Self::RoundRobin, Self::Random, Self::LeastLoaded];

    fn name(self) -> &'static str {
        match self {
            Self::Fuchsiabay => "fuchsiabay",
            Self::RoundRobin => "round_robin",
            Self::Random => "random",
            Self::LeastLoaded => "least_loaded_by_lagged_report",
        }
    }

    fn run(self, seed: u64, sources: &[Source]) -> Vec<Job> {
        let jobs = draw(seed, sources, ENTRIES);
        let last = jobs.last().map_or(Timestamp::ZERO, |job| job.arrival);
        let end = last.plus_millis(TAIL_MS);
        let fifo = || (0..SERVERS).map(|_| Server::fifo()).collect();
        match self {
            Self::Fuchsiabay => {
                let entries = (0..ENTRIES).map(|i| Routed::new(i, SERVERS)).collect();
                let servers = (0..SERVERS).map(|_| Server::scheduled(limits())).collect();
                Simulation::run(seed, entries, servers, jobs, end, true)
            }
            Self::RoundRobin => {
                let entries = (0..ENTRIES).map(|i| RoundRobin { servers: SERVERS, next: i * 5 }).collect();
                Simulation::run(seed, entries, fifo(), jobs, end, false)
            }
            Self::Random => {
                let entries = (0..ENTRIES).map(|_| Random { servers: SERVERS }).collect();
                Simulation::run(seed, entries, fifo(), jobs, end, false)
            }
            Self::LeastLoaded => {
                let entries = (0..ENTRIES).map(|_| LeastLoaded { attempts: vec![0; SERVERS] }).collect();
                Simulation::run(seed, entries, fifo(), jobs, end, false)
            }
        }
    }
}

/// The limits that the scheduler works under in all measures.
fn limits() -> Limits {
    Limits {
        slots: SLOTS,
        queue_limit: 256,
        long_share_percent: 60,
        ageing_ms: 10_000,
        long_work_tokens: 500,
        pause_after_ms: Some(100),
    }
}

/// Runs every measure and returns the figures.
pub fn policy_report(seed: u64) -> Value {
    let (short_behind_long, burst, fairness) = (short_behind_long(seed), burst(seed), fairness(seed));
    let short = |policy: &str| short_behind_long[policy]["short_wait_ms"]["p99"].as_f64().unwrap_or_default();
    let long = |policy: &str| short_behind_long[policy]["long_total_ms"]["p99"].as_f64().unwrap_or_default();
    let ratio = |part: f64, whole: f64| (1000.0 * part / whole).round() / 1000.0;
    let goals = json!({
        "short_p99_of_round_robin": [ratio(short("fuchsiabay"), short("round_robin")), "at most", 0.1],
        "short_p99_of_least_loaded":
            [ratio(short("fuchsiabay"), short("least_loaded_by_lagged_report")), "at most", 0.333],
        "long_p99_of_round_robin": [ratio(long("fuchsiabay"), long("round_robin")), "at most", 1.2],
        "burst_in_time_percent": [burst["fuchsiabay"]["tokens_in_time_percent_of_possible"], "at least", 95],
        "burst_late_refusals": [burst["fuchsiabay"]["refused_later_than_50_ms"], "at most", 0],
        "least_kept_percent_of_lone": [fairness["fuchsiabay"]["least_kept_percent_of_lone"], "at least", 95],
    });
    json!({
        "goals": goals,
        "seed": seed,
        "servers": SERVERS,
        "slots_per_server": SLOTS,
        "ms_per_token": MS_PER_TOKEN,
        "entries": ENTRIES,
        "short_behind_long": short_behind_long,
        "burst": burst,
        "fairness": fairness,
    })
}

/// Short work (32 tokens) beside long work (4,000 tokens), at 85 % of the capacity.
fn short_behind_long(seed: u64) -> Value {
    let source = Source {
        workspace: "mixed",
        tokens_per_second: 0.85 * CAPACITY,
        short_tokens: 32,
        long_tokens: 4_000,
        long_share: 0.01,
        deadline_ms: 600_000,
        start_ms: 0,
        end_ms: 200_000,
    };
    let mut figures = serde_json::Map::new();
    for policy in Policy::ALL {
        let jobs = policy.run(seed, std::slice::from_ref(&source));
        let short = quantiles(jobs.iter().filter(|job| !job.long).filter_map(Job::wait_ms));
        let long = quantiles(jobs.iter().filter(|job| job.long).filter_map(Job::total_ms));
        let refused = jobs.iter().filter(|job| job.refused.is_some()).count();
        let unfinished = jobs.iter().filter(|job| job.refused.is_none() && job.finished.is_none()).count();
        figures.insert(
            policy.name().to_owned(),
            json!({
                "requests": jobs.len(),
                "refused": refused,
                "unfinished": unfinished,
                "short_wait_ms": short,
                "long_total_ms": long,
            }),
        );
    }
    Value::Object(figures)
}

/// Three times the capacity for 30 s, with a deadline of 3 s.
fn burst(seed: u64) -> Value {
    const BURST_MS: u64 = 30_000;
    const DEADLINE_MS: u64 = 3_000;
    let source = Source {
        workspace: "burst",
        tokens_per_second: 3.0 * CAPACITY,
        short_tokens: 100,
        long_tokens: 100,
        long_share: 0.0,
        deadline_ms: DEADLINE_MS,
        start_ms: 0,
        end_ms: BURST_MS,
    };
    let mut figures = serde_json::Map::new();
    for policy in Policy::ALL {
        let jobs = policy.run(seed, std::slice::from_ref(&source));
        let in_time: u64 = jobs.iter().filter(|job| job.in_time()).map(|job| u64::from(job.tokens)).sum();
        // The servers can work from the first arrival to the deadline of the last one.
        let possible = CAPACITY * (BURST_MS + DEADLINE_MS) as f64 / 1000.0;
        let refusals: Vec<u64> =
            jobs.iter().filter_map(|job| Some(job.refused?.millis_since(job.arrival))).collect();
        let late = refusals.iter().filter(|ms| **ms > LATE_REFUSAL_MS).count();
        figures.insert(
            policy.name().to_owned(),
            json!({
                "requests": jobs.len(),
                "in_time": jobs.iter().filter(|job| job.in_time()).count(),
                "tokens_in_time_percent_of_possible": percent(in_time as f64, possible),
                "answered_too_late": jobs.iter().filter(|j| j.finished.is_some() && !j.in_time()).count(),
                "refused": refusals.len(),
                "refused_later_than_50_ms": late,
                "refusal_max_ms": refusals.iter().max(),
            }),
        );
    }
    Value::Object(figures)
}

/// Nine workspaces at 6 % of the capacity each, and a tenth that sends twenty times as much.
fn fairness(seed: u64) -> Value {
    const QUIET: [&str; 9] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"];
    let source = |workspace, factor: f64| Source {
        workspace,
        tokens_per_second: 0.06 * CAPACITY * factor,
        short_tokens: 64,
        long_tokens: 64,
        long_share: 0.0,
        deadline_ms: 5_000,
        start_ms: 0,
        end_ms: 60_000,
    };
    let lone: Vec<Source> = QUIET.iter().map(|workspace| source(*workspace, 1.0)).collect();
    let crowded: Vec<Source> = lone.iter().cloned().chain([source("greedy", 20.0)]).collect();
    let mut figures = serde_json::Map::new();
    for policy in Policy::ALL {
        let (lone, crowded) = (policy.run(seed, &lone), policy.run(seed, &crowded));
        let kept = QUIET.iter().map(|workspace| {
            percent(tokens_in_time(&crowded, workspace) as f64, tokens_in_time(&lone, workspace) as f64)
        });
        let waits = |jobs: &[Job]| {
            quantiles(jobs.iter().filter(|job| job.workspace.as_str() != "greedy").filter_map(Job::wait_ms))
        };
        figures.insert(
            policy.name().to_owned(),
            json!({
                "least_kept_percent_of_lone": kept.fold(f64::INFINITY, f64::min),
                "greedy_percent_of_capacity":
                    percent(tokens_in_time(&crowded, "greedy") as f64, CAPACITY * 60.0),
                "others_wait_ms_lone": waits(&lone),
                "others_wait_ms": waits(&crowded),
            }),
        );
    }
    Value::Object(figures)
}

fn tokens_in_time(jobs: &[Job], workspace: &str) -> u64 {
    let in_time = jobs.iter().filter(|job| job.workspace.as_str() == workspace && job.in_time());
    in_time.map(|job| u64::from(job.tokens)).sum()
}

fn quantiles(values: impl Iterator<Item = u64>) -> Value {
    // Bounds and digits are constants within the limits of the library.
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_MS, 3).unwrap_or_else(|_| unreachable!());
    values.for_each(|value| histogram.saturating_record(value));
    json!({
        "count": histogram.len(),
        "p50": histogram.value_at_quantile(0.5),
        "p99": histogram.value_at_quantile(0.99),
        "max": histogram.max(),
    })
}

fn percent(part: f64, whole: f64) -> f64 {
    (1000.0 * part / whole).round() / 10.0
}
