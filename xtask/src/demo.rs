//! `cargo xtask demo`: runs a cluster on loopback under mixed load and injects a fault.

use std::{
    fmt,
    str::FromStr,
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::{
    cluster::{Cluster, ClusterPlan, GROUP_EXPERTS, GROUP_STEP_US, Profile, read_to_end, strings},
    process::{Process, kill_children_on_interrupt},
    steps::StepError,
};

/// How long the load generator sends requests.
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// How long the load generator sends requests if a group switches its expert map, which takes 10 s from the proposal.
const SWITCH_LOAD_DURATION: Duration = Duration::from_secs(30);
/// The time from the start of the load to the fault.
const FAULT_DELAY: Duration = Duration::from_millis(3_500);
/// How long an agent stays suspended, and how long an outage of the log lasts.
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// The time within which a group must switch its expert map. A switch is proposed 10 s ahead.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(40);
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The number of steps that a group must run after an agent was restarted. It exceeds the steps that were permitted
/// before the restart, so the group needs the restarted agent.
const STEPS_AFTER_RESTART: u64 = 1_500;
/// The delay before a killed process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// The time within which an entry instance must drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// The minimum share of requests that must be answered, in percent. A cluster that refuses every request breaks no
/// promise, so checking the promises alone would not show that it works.
const MIN_ANSWERED_PERCENT: u64 = 60;

/// The fault that is injected while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An agent is killed and an entry instance is drained.
    Mixed,
    /// An engine is killed while it generates streams.
    Kill,
    /// An agent of a plain service is suspended while callers retry non-idempotent calls.
    Freeze,
    /// The log is unavailable while non-idempotent calls arrive.
    LogOutage,
    /// A group of ranks switches its expert map, and then the agent of one rank is killed.
    MapSwitch,
}

impl FromStr for Fault {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "kill" => Ok(Self::Kill),
            "freeze" => Ok(Self::Freeze),
            "log-outage" => Ok(Self::LogOutage),
            "map-switch" => Ok(Self::MapSwitch),
            _ => Err("expected kill, freeze, log-outage or map-switch"),
        }
    }
}

/// The counts that the load generator reports.
struct Counts(Value);

impl Counts {
    fn number(&self, field: &str) -> u64 {
        self.0[field].as_u64().unwrap_or_default()
    }

    /// Describes the first promise that was broken, if any.
    fn broken_promise(&self) -> Option<String> {
        for field in ["wrong", "doubled", "truncated"] {
            if self.number(field) > 0 {
                return Some(format!("{field} is {}", self.number(field)));
            }
        }
        if self.number("answered") * 100 < self.number("sent") * MIN_ANSWERED_PERCENT {
            return Some(format!("fewer than {MIN_ANSWERED_PERCENT} % of the requests were answered"));
        }
        None
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "demo:")?;
        for field in ["sent", "answered", "refused_not_run", "may_have_run", "wrong", "doubled", "truncated"]
        {
            write!(f, " {field}={}", self.number(field))?;
        }
        Ok(())
    }
}

/// Runs the demo. It succeeds only if every promise was kept.
pub(crate) fn run(fault: Fault, seed: u64) -> Result<(), StepError> {
    kill_children_on_interrupt().map_err(|error| StepError::Io("handle signals".into(), error))?;
    let mut cluster = Cluster::start(&cluster_plan(fault))?;
    let mut load = cluster.start_load(&load_args(fault, seed))?;
    let started = Instant::now();
    eprintln!("xtask: running a load of {} s with seed {seed}", load_duration(fault).as_secs());
    thread::sleep(FAULT_DELAY.saturating_sub(started.elapsed()));
    let stopped = inject_fault(fault, &mut cluster)?;
    let output = read_to_end(&mut load)?;
    let counts = Counts(serde_json::from_str(&output).map_err(|error| {
        StepError::Check(format!("the load generator printed no valid report: {error}; {output}"))
    })?);
    for failure in counts.0["failures"].as_array().into_iter().flatten() {
        eprintln!("xtask: {}", failure.as_str().unwrap_or_default());
    }
    for (failure, count) in counts.0["failure_counts"].as_object().into_iter().flatten() {
        eprintln!("xtask: {count} times {failure}");
    }
    let checked = check(fault, &counts, &cluster, stopped.as_deref());
    if checked.is_ok() {
        cluster.finish();
    } else {
        drop(cluster);
    }
    println!("{counts}");
    checked
}

fn cluster_plan(fault: Fault) -> ClusterPlan {
    // The engines are slow enough that each has several open streams when the fault is injected.
    let mut plan = ClusterPlan {
        profile: Profile::Dev,
        entries: 3,
        engines: 4,
        services: 3,
        slots: 16,
        agents_per_engine: 1,
        engine_args: strings(&["--step-us", &GROUP_STEP_US.to_string()]),
        service_args: strings(&["--delay-ms", "20"]),
    };
    if fault == Fault::MapSwitch {
        // One engine hosts the ranks of all four agents and generates the streams of all of them.
        (plan.engines, plan.agents_per_engine) = (1, 4);
        plan.engine_args
            .extend([format!("--ranks={}", plan.agents_per_engine), format!("--experts={GROUP_EXPERTS}")]);
    }
    plan
}

/// Checks that the promises were kept, and that the fault affected some work.
fn check(fault: Fault, counts: &Counts, cluster: &Cluster, stopped: Option<&str>) -> Result<(), StepError> {
    if let Some(promise) = counts.broken_promise() {
        return Err(StepError::Check(promise));
    }
    let violations = cluster.metric("fuchsiabay_invariant_violations_total", stopped)?;
    if violations > 0 {
        return Err(StepError::Check(format!("invariants were violated {violations} times")));
    }
    let retries = cluster.metric("fuchsiabay_entry_retries_total", stopped)?;
    eprintln!("xtask: the entry instances sent {retries} retries");
    let affected = match fault {
        Fault::Mixed | Fault::Kill => retries,
        Fault::Freeze => counts.number("may_have_run"),
        Fault::LogOutage => counts.number("refused_not_run"),
        Fault::MapSwitch => check_expert_maps(cluster)?,
    };
    if affected == 0 {
        return Err(StepError::Check("the fault affected no request, so this run tested nothing".into()));
    }
    Ok(())
}

/// Checks that the ranks never had permits with different expert maps for the same step. Returns the version
/// of the map in use.
fn check_expert_maps(cluster: &Cluster) -> Result<u64, StepError> {
    let group = group_state(cluster)?;
    let number = |field: &str| group[field].as_u64().unwrap_or_default();
    eprintln!(
        "xtask: expert map {} is in use at step {}; {} step attempts stalled because a rank lacked a permit",
        number("map"),
        number("step"),
        number("held_steps")
    );
    match number("map_conflicts") {
        0 => Ok(number("map")),
        conflicts => Err(StepError::Check(format!(
            "the ranks had permits with different expert maps for {conflicts} steps"
        ))),
    }
}

/// Waits until the group uses a later expert map than `map`. Returns the state of the group.
fn wait_for_switch(cluster: &Cluster, map: u64) -> Result<Value, StepError> {
    let deadline = Instant::now() + SWITCH_TIMEOUT;
    loop {
        let group = group_state(cluster)?;
        if group["map"].as_u64() > Some(map) {
            return Ok(group);
        }
        if Instant::now() >= deadline {
            return Err(StepError::Check(format!(
                "the group did not switch from map {map} in time: {group}"
            )));
        }
        thread::sleep(SWITCH_POLL_INTERVAL);
    }
}

/// Waits until the group has reached `step`.
fn wait_for_step(cluster: &Cluster, step: u64) -> Result<(), StepError> {
    let deadline = Instant::now() + SWITCH_TIMEOUT;
    while group_state(cluster)?["step"].as_u64() < Some(step) {
        if Instant::now() >= deadline {
            return Err(StepError::Check(format!("the group did not reach step {step} in time")));
        }
        thread::sleep(SWITCH_POLL_INTERVAL);
    }
    Ok(())
}

fn group_state(cluster: &Cluster) -> Result<Value, StepError> {
    let text = cluster.call("GET", &format!("{}/group", cluster.engines[0].url), None)?;
    serde_json::from_str(&text)
        .map_err(|error| StepError::Check(format!("the state of the group is not valid JSON: {error}")))
}

/// Injects the fault. Returns the name of the daemon that it stopped for good, if any.
fn inject_fault(fault: Fault, cluster: &mut Cluster) -> Result<Option<String>, StepError> {
    match fault {
        Fault::Mixed => {
            eprintln!("xtask: killing an agent and draining an entry instance");
            signal(&cluster.agents[0].process, Signal::KILL)?;
            let last = cluster.entries.len() - 1;
            signal(&cluster.entries[last].process, Signal::TERM)?;
            let leaving = cluster.entries[last].process.name().to_owned();
            cluster.set_instance_list(|name| name != leaving)?;
            thread::sleep(RESTART_DELAY);
            cluster.restart_agent(0)?;
            let status = cluster.entries[last].process.wait(DRAIN_TIMEOUT);
            match status
                .map_err(|error| StepError::Io("wait for an entry instance to drain".into(), error))?
            {
                Some(status) if status.success() => Ok(Some(leaving)),
                Some(status) => Err(StepError::Check(format!("the drained entry instance failed: {status}"))),
                None => Err(StepError::Check("the entry instance did not drain in time".into())),
            }
        }
        Fault::Kill => {
            eprintln!("xtask: killing an engine");
            signal(&cluster.engines[0].process, Signal::KILL)?;
            thread::sleep(RESTART_DELAY);
            cluster.restart_engine(0)?;
            Ok(None)
        }
        Fault::Freeze => {
            eprintln!("xtask: suspending an agent for {} s", FAULT_DURATION.as_secs());
            let agent = &cluster.agents[cluster.engines.len()].process;
            signal(agent, Signal::STOP)?;
            thread::sleep(FAULT_DURATION);
            signal(agent, Signal::CONT)?;
            Ok(None)
        }
        Fault::LogOutage => {
            eprintln!("xtask: making the log unavailable for {} s", FAULT_DURATION.as_secs());
            cluster.set_log_faults(&json!({ "outage": true }))?;
            thread::sleep(FAULT_DURATION);
            cluster.set_log_faults(&json!({ "lose_answers": 3 }))?;
            Ok(None)
        }
        Fault::MapSwitch => {
            let group = wait_for_switch(cluster, 0)?;
            let map = group["map"].as_u64().unwrap_or_default();
            eprintln!(
                "xtask: expert map {map} is in use at step {}; {} step attempts stalled because a rank lacked a \
                 permit",
                group["step"], group["held_steps"]
            );
            if group["held_steps"] != 0 {
                return Err(StepError::Check("the map switch stalled the group".into()));
            }
            eprintln!("xtask: killing the agent of a rank");
            signal(&cluster.agents[1].process, Signal::KILL)?;
            thread::sleep(RESTART_DELAY);
            cluster.restart_agent(1)?;
            let step = group["step"].as_u64();
            wait_for_step(cluster, step.unwrap_or_default() + STEPS_AFTER_RESTART)?;
            Ok(None)
        }
    }
}

fn signal(process: &Process, signal: Signal) -> Result<(), StepError> {
    process.signal(signal).map_err(|error| StepError::Io(format!("signal {}", process.name()), error))
}

fn load_duration(fault: Fault) -> Duration {
    if fault == Fault::MapSwitch { SWITCH_LOAD_DURATION } else { LOAD_DURATION }
}

fn load_args(fault: Fault, seed: u64) -> Vec<String> {
    let mut args = strings(&[
        "--seed",
        &seed.to_string(),
        "--duration-ms",
        &load_duration(fault).as_millis().to_string(),
        "--rate",
        "60",
        "--model",
        "assistant",
        "--deadline-ms",
        "10000",
    ]);
    for workspace in ["gate", "drying-hall-1", "drying-hall-2", "quality", "exporters"] {
        args.extend(strings(&["--workspace", workspace]));
    }
    // The load contains the kind of work that the fault affects.
    let mix: &[&str] = match fault {
        Fault::Mixed | Fault::MapSwitch => &["--long-percent", "25"],
        Fault::Kill => &["--look-up-percent", "10", "--keyed-percent", "10", "--long-percent", "30"],
        Fault::Freeze | Fault::LogOutage => &[
            "--look-up-percent",
            "20",
            "--keyed-percent",
            "60",
            "--twin-percent",
            "80",
            "--twin-delay-ms",
            "4000",
        ],
    };
    args.extend(strings(mix));
    args
}
