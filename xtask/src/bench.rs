//! `cargo xtask bench`: benchmarks of the request path on loopback, of the policies on virtual time, and of the state
//! and messages of each role.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    byte_meter::ByteMeter,
    cluster::{Cluster, ClusterPlan, Profile, read_to_end, strings},
    process::kill_children_on_interrupt,
    steps::{StepError, cargo},
    usage::{cpu_time, load_average, resident_kb},
};

/// The goal for the p99 latency that the entry instance and the agent add, in microseconds.
const GOAL_ADDED_P99_US: i64 = 1_000;
/// The goal for the tokens that an entry instance relays per second and core.
const GOAL_TOKENS_PER_CORE: f64 = 75_000.0;
/// The goal for the resident memory of an entry instance with 1,000 open streams, in kilobytes.
const GOAL_RESIDENT_KB: u64 = 64 << 10;
const OPEN_STREAMS: u64 = 1_000;
/// The time within which all streams must be open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);

/// What the benchmark measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subject {
    /// The request path of the real programs.
    Path,
    /// The policies on virtual time.
    Policy,
    /// The memory and processor time of state, and the size of messages.
    Capacity,
}

/// Runs a benchmark and prints its figures. A missed goal is only reported and does not fail the run.
pub(crate) fn run(subject: Subject, seed: u64, as_json: bool) -> Result<(), StepError> {
    match subject {
        Subject::Path => {}
        Subject::Policy => return run_measure(&["--seed", &seed.to_string()], as_json),
        Subject::Capacity => return run_measure(&["--capacity"], as_json),
    }
    kill_children_on_interrupt().map_err(io_error("handle signals"))?;
    let figures = measure_request_path(seed)?;
    if as_json {
        println!("{figures}");
        return Ok(());
    }
    for (name, figure) in figures.as_object().into_iter().flatten() {
        print_figure(name, figure);
    }
    Ok(())
}

fn print_figure(name: &str, figure: &Value) {
    match figure {
        Value::Object(figures) => {
            figures.iter().for_each(|(field, figure)| print_figure(&format!("{name}.{field}"), figure));
        }
        figure => println!("{name}: {figure}"),
    }
}

/// Runs `fuchsiabay-measure`, which needs no cluster.
fn run_measure(args: &[&str], as_json: bool) -> Result<(), StepError> {
    let mut all = vec!["run", "--locked", "--quiet", "--release", "--package", "fuchsiabay-measure", "--"];
    all.extend_from_slice(args);
    if as_json {
        all.push("--json");
    }
    cargo(&all, &[])
}

fn measure_request_path(seed: u64) -> Result<Value, StepError> {
    let cores = thread::available_parallelism().map_err(io_error("count the cores"))?;
    Ok(json!({
        "seed": seed,
        "cores": cores.get(),
        "latency": measure_latency(seed)?,
        "throughput": measure_throughput(seed)?,
        "memory": measure_memory(seed)?,
    }))
}

/// Measures the latency that one entry instance and its agents add, by comparison with the same load sent directly to
/// the backend servers.
fn measure_latency(seed: u64) -> Result<Value, StepError> {
    let plan = ClusterPlan {
        profile: Profile::Release,
        entries: 1,
        engines: 1,
        services: 1,
        slots: 64,
        agents_per_engine: 1,
        engine_args: strings(&["--step-us", "1000", "--step-per-stream-us", "0", "--prefill-block-us", "0"]),
        service_args: vec![],
    };
    let cluster = Cluster::start(&plan)?;
    let mix = strings(&[
        "--seed",
        &seed.to_string(),
        "--duration-ms",
        "20000",
        "--rate",
        "200",
        "--look-up-percent",
        "50",
        "--keyed-percent",
        "0",
        "--stream-percent",
        "100",
        "--long-percent",
        "0",
        "--workspace",
        "gate",
    ]);
    let direct =
        strings(&["load", "--engine", &cluster.engines[0].url, "--service", &cluster.services[0].url]);
    // Both loads run at the same time, so that other work on the machine affects both alike.
    let mut direct = cluster.start_direct_load(&[direct, mix.clone()].concat())?;
    let mut through = cluster.start_load(&mix)?;
    let (direct, through) =
        (parse_json(&read_to_end(&mut direct)?)?, parse_json(&read_to_end(&mut through)?)?);
    cluster.finish();
    let added = |kind: &str, quantile: &str| {
        let us = |report: &Value| report["times"][kind][quantile].as_i64().unwrap_or_default();
        us(&through) - us(&direct)
    };
    let worst = added("look_up", "p99_us").max(added("first_token", "p99_us"));
    Ok(json!({
        "requests_per_second": 200,
        "load_average": load_average().map_err(io_error("read the load average"))?,
        "answered": through["answered"],
        "sent": through["sent"],
        "failures": through["failure_counts"],
        "direct": direct["times"],
        "through": through["times"],
        "added_us": {
            "look_up_p50": added("look_up", "p50_us"),
            "look_up_p99": added("look_up", "p99_us"),
            "first_token_p50": added("first_token", "p50_us"),
            "first_token_p99": added("first_token", "p99_us"),
        },
        "goal_p99_us": GOAL_ADDED_P99_US,
        "goal_met": worst < GOAL_ADDED_P99_US && through["answered"] == through["sent"],
    }))
}

/// Measures the throughput of many concurrent streams, and the bytes that the agents send for each token.
fn measure_throughput(seed: u64) -> Result<Value, StepError> {
    let plan = ClusterPlan {
        profile: Profile::Release,
        entries: 1,
        engines: 2,
        services: 0,
        // Over both engines, this is twice the number of streams that are open on average, so that bursts do not queue.
        slots: 200,
        agents_per_engine: 1,
        engine_args: strings(&["--step-us", "5000", "--step-per-stream-us", "0", "--prefill-block-us", "0"]),
        service_args: vec![],
    };
    let mut cluster = Cluster::start(&plan)?;
    let meters = cluster.meter_agents()?;
    // A stream of 400 tokens at 5 ms takes 2 s, so 100 new streams per second keep 200 open.
    let mut load = cluster.start_load(&stream_load_args(seed, "100", "10000", "400"))?;
    let entry = cluster.entries[0].process.id();
    let agent = cluster.agents[0].process.id();
    let cpu_times = || Ok((cpu_time(entry)?, cpu_time(agent)?));
    let before = cpu_times().map_err(io_error("read the processor time"))?;
    let bytes_before: u64 = meters.iter().map(ByteMeter::received).sum();
    let started = Instant::now();
    let report = parse_json(&read_to_end(&mut load)?)?;
    let elapsed = started.elapsed().as_secs_f64();
    let after = cpu_times().map_err(io_error("read the processor time"))?;
    let bytes = meters.iter().map(ByteMeter::received).sum::<u64>() - bytes_before;
    cluster.finish();
    let tokens = report["tokens"].as_f64().unwrap_or_default();
    let per_core = tokens / (after.0 - before.0).as_secs_f64();
    Ok(json!({
        "load_average": load_average().map_err(io_error("read the load average"))?,
        "sent": report["sent"],
        "answered": report["answered"],
        "failures": report["failure_counts"],
        "tokens": tokens,
        "tokens_per_second": (tokens / elapsed).round(),
        "entry_cpu_ms": (after.0 - before.0).as_millis() as u64,
        "first_agent_cpu_ms": (after.1 - before.1).as_millis() as u64,
        "tokens_per_second_and_core_of_the_entry": per_core.round(),
        "goal_tokens_per_second_and_core": GOAL_TOKENS_PER_CORE,
        "goal_met": per_core >= GOAL_TOKENS_PER_CORE,
        "bytes_per_token_from_agent_to_entry": (10.0 * bytes as f64 / tokens).round() / 10.0,
    }))
}

/// Measures the resident memory of an entry instance and an agent with 1,000 open streams.
fn measure_memory(seed: u64) -> Result<Value, StepError> {
    let plan = ClusterPlan {
        profile: Profile::Release,
        entries: 1,
        engines: 1,
        services: 0,
        slots: 1_200,
        agents_per_engine: 1,
        engine_args: strings(&["--step-us", "50000", "--step-per-stream-us", "0", "--prefill-block-us", "0"]),
        service_args: vec![],
    };
    let cluster = Cluster::start(&plan)?;
    let (entry, agent) = (cluster.entries[0].process.id(), cluster.agents[0].process.id());
    let resident = || Ok((resident_kb(entry)?, resident_kb(agent)?));
    let idle = resident().map_err(io_error("read the memory"))?;
    let mut load = cluster.start_load(&stream_load_args(seed, "500", "2200", "1200"))?;
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let open = loop {
        let running = parse_json(&cluster.call("GET", &format!("{}/load", cluster.engines[0].url), None)?)?;
        let running = running["running"].as_u64().unwrap_or_default();
        if running >= OPEN_STREAMS || Instant::now() >= deadline {
            break running;
        }
        thread::sleep(Duration::from_millis(100));
    };
    // Buffers still grow in the first seconds of a stream.
    thread::sleep(Duration::from_secs(5));
    let open_kb = resident().map_err(io_error("read the memory"))?;
    load.kill();
    cluster.finish();
    Ok(json!({
        "open_streams": open,
        "entry_idle_kb": idle.0,
        "entry_kb": open_kb.0,
        "agent_idle_kb": idle.1,
        "agent_kb": open_kb.1,
        "goal_entry_kb": GOAL_RESIDENT_KB,
        "goal_met": open >= OPEN_STREAMS && open_kb.0 < GOAL_RESIDENT_KB,
    }))
}

/// Returns the load generator's arguments for a load that consists of streams only.
fn stream_load_args(seed: u64, rate: &str, duration_ms: &str, tokens: &str) -> Vec<String> {
    strings(&[
        "--seed",
        &seed.to_string(),
        "--rate",
        rate,
        "--duration-ms",
        duration_ms,
        "--look-up-percent",
        "0",
        "--keyed-percent",
        "0",
        "--stream-percent",
        "100",
        "--long-percent",
        "0",
        "--short-tokens",
        tokens,
        "--deadline-ms",
        "120000",
        "--workspace",
        "gate",
    ])
}

fn parse_json(text: &str) -> Result<Value, StepError> {
    serde_json::from_str(text)
        .map_err(|error| StepError::Check(format!("the output is not valid JSON: {error}: {text}")))
}

fn io_error(step: &str) -> impl Fn(io::Error) -> StepError {
    let step = step.to_owned();
    move |error| StepError::Io(step.clone(), error)
}
