//! `cargo xtask demo`: a whole cluster on loopback under mixed load, with faults in the middle.

use std::{
    fmt,
    str::FromStr,
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::{
    cluster::{Cluster, GROUP_EXPERTS, GROUP_STEP_US, Plan, Profile, read_to_end, strings},
    process::{Process, stop_all_on_interrupt},
    steps::StepError,
};

/// How long requests arrive.
const LOAD: Duration = Duration::from_secs(10);
/// How long requests arrive while a group switches, which takes 10 s from the proposal.
const SWITCH_LOAD: Duration = Duration::from_secs(30);
/// When the fault begins.
const FAULT_AT: Duration = Duration::from_millis(3_500);
/// How long an agent is stopped and how long the log is out of service.
const FAULT: Duration = Duration::from_secs(4);
/// How long a group may take to switch its expert map, which lies 10 s ahead when it is proposed.
const SWITCH_LIMIT: Duration = Duration::from_secs(40);
const SWITCH_POLL: Duration = Duration::from_millis(200);
/// Steps that a group must run after the restart of an agent. They exceed what was permitted before.
const STEPS_AFTER_RESTART: u64 = 1_500;
/// How long a killed process stays away.
const AWAY: Duration = Duration::from_millis(1_500);
/// How long an entry instance may take to drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// The least share of requests that must be answered, in percent. A cluster that refuses everything breaks no
/// promise, so the promises alone would not show that it works.
const MIN_ANSWERED_PERCENT: u64 = 60;

/// What goes wrong in the middle of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An agent is killed and an entry instance is drained.
    Mixed,
    /// An engine is killed in the middle of its streams.
    Kill,
    /// An agent of a plain service is stopped for seconds while calls that run at most once are sent again.
    Freeze,
    /// The log is out of service while calls that run at most once arrive.
    LogOutage,
    /// A group of ranks switches its expert map, and the agent of one rank is killed after that.
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
            _ => Err("allowed: kill, freeze, log-outage or map-switch"),
        }
    }
}

/// The counts of the load generator.
struct Counts(Value);

impl Counts {
    fn number(&self, field: &str) -> u64 {
        self.0[field].as_u64().unwrap_or_default()
    }

    /// Returns which promise does not hold.
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

/// Runs the demo. It succeeds only when every promise held.
pub(crate) fn run(fault: Fault, seed: u64) -> Result<(), StepError> {
    stop_all_on_interrupt().map_err(|error| StepError::Start("signal handling".into(), error))?;
    let mut cluster = Cluster::start(&plan(fault))?;
    let mut load = cluster.start_load(&load_args(fault, seed))?;
    let started = Instant::now();
    eprintln!("xtask: load of {} s with seed {seed}", load_time(fault).as_secs());
    thread::sleep(FAULT_AT.saturating_sub(started.elapsed()));
    let gone = inject(fault, &mut cluster)?;
    let output = read_to_end(&mut load)?;
    let counts = Counts(serde_json::from_str(&output).map_err(|error| {
        StepError::Check(format!("the load generator printed no report: {error}; {output}"))
    })?);
    for failure in counts.0["failures"].as_array().into_iter().flatten() {
        eprintln!("xtask: {}", failure.as_str().unwrap_or_default());
    }
    for (failure, count) in counts.0["failure_counts"].as_object().into_iter().flatten() {
        eprintln!("xtask: {count} times {failure}");
    }
    let checked = check(fault, &counts, &cluster, gone.as_deref());
    if checked.is_ok() {
        cluster.finish();
    } else {
        drop(cluster);
    }
    println!("{counts}");
    checked
}

fn plan(fault: Fault) -> Plan {
    // Slow enough that several streams are open on each engine when the fault comes.
    let mut plan = Plan {
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
        // One engine hosts the ranks of all four agents and runs the streams of all.
        (plan.engines, plan.agents_per_engine) = (1, 4);
        plan.engine_args
            .extend([format!("--ranks={}", plan.agents_per_engine), format!("--experts={GROUP_EXPERTS}")]);
    }
    plan
}

/// Checks the promises, and that the fault met work that it could harm.
fn check(fault: Fault, counts: &Counts, cluster: &Cluster, gone: Option<&str>) -> Result<(), StepError> {
    if let Some(promise) = counts.broken_promise() {
        return Err(StepError::Check(promise));
    }
    let violations = cluster.metric("fuchsiabay_invariant_violations_total", gone)?;
    if violations > 0 {
        return Err(StepError::Check(format!("{violations} invariants were violated")));
    }
    let retries = cluster.metric("fuchsiabay_entry_retries_total", gone)?;
    eprintln!("xtask: the entry instances sent {retries} further attempts");
    let harmed = match fault {
        Fault::Mixed | Fault::Kill => retries,
        Fault::Freeze => counts.number("may_have_run"),
        Fault::LogOutage => counts.number("refused_not_run"),
        Fault::MapSwitch => check_maps(cluster)?,
    };
    if harmed == 0 {
        return Err(StepError::Check("the fault met no request, so this run shows nothing".into()));
    }
    Ok(())
}

/// Checks that no step ran on two maps. Returns the number of the map in use.
fn check_maps(cluster: &Cluster) -> Result<u64, StepError> {
    let group = group(cluster)?;
    let number = |field: &str| group[field].as_u64().unwrap_or_default();
    eprintln!(
        "xtask: map {} at step {}; {} step times without a permit",
        number("map"),
        number("step"),
        number("held_steps")
    );
    match number("map_conflicts") {
        0 => Ok(number("map")),
        conflicts => Err(StepError::Check(format!("{conflicts} steps had two expert maps"))),
    }
}

/// Waits until the group runs a later map than `map`. Returns the state of the group.
fn await_switch(cluster: &Cluster, map: u64) -> Result<Value, StepError> {
    let deadline = Instant::now() + SWITCH_LIMIT;
    loop {
        let group = group(cluster)?;
        if group["map"].as_u64() > Some(map) {
            return Ok(group);
        }
        if Instant::now() >= deadline {
            return Err(StepError::Check(format!("the group did not leave map {map}: {group}")));
        }
        thread::sleep(SWITCH_POLL);
    }
}

/// Waits until the group has run `step`.
fn await_step(cluster: &Cluster, step: u64) -> Result<(), StepError> {
    let deadline = Instant::now() + SWITCH_LIMIT;
    while group(cluster)?["step"].as_u64() < Some(step) {
        if Instant::now() >= deadline {
            return Err(StepError::Check(format!("the group did not reach step {step}")));
        }
        thread::sleep(SWITCH_POLL);
    }
    Ok(())
}

fn group(cluster: &Cluster) -> Result<Value, StepError> {
    let text = cluster.call("GET", &format!("{}/group", cluster.engines[0].url), None)?;
    serde_json::from_str(&text).map_err(|error| StepError::Check(format!("the state of the group: {error}")))
}

/// Brings the fault about and returns the name of the daemon that is gone after it.
fn inject(fault: Fault, cluster: &mut Cluster) -> Result<Option<String>, StepError> {
    match fault {
        Fault::Mixed => {
            eprintln!("xtask: kills an agent and drains an entry instance");
            signal(&cluster.agents[0].process, Signal::KILL)?;
            let last = cluster.entries.len() - 1;
            signal(&cluster.entries[last].process, Signal::TERM)?;
            let leaving = cluster.entries[last].process.name().to_owned();
            cluster.set_list(|name| name != leaving)?;
            thread::sleep(AWAY);
            cluster.restart_agent(0)?;
            let status = cluster.entries[last].process.wait(DRAIN_LIMIT);
            match status.map_err(|error| StepError::Start("wait for the drain".into(), error))? {
                Some(status) if status.success() => Ok(Some(leaving)),
                Some(status) => Err(StepError::Check(format!("the drain ended with {status}"))),
                None => Err(StepError::Check("the drain did not end".into())),
            }
        }
        Fault::Kill => {
            eprintln!("xtask: kills an engine");
            signal(&cluster.engines[0].process, Signal::KILL)?;
            thread::sleep(AWAY);
            cluster.restart_engine(0)?;
            Ok(None)
        }
        Fault::Freeze => {
            eprintln!("xtask: stops an agent for {} s", FAULT.as_secs());
            let agent = &cluster.agents[cluster.engines.len()].process;
            signal(agent, Signal::STOP)?;
            thread::sleep(FAULT);
            signal(agent, Signal::CONT)?;
            Ok(None)
        }
        Fault::LogOutage => {
            eprintln!("xtask: takes the log out of service for {} s", FAULT.as_secs());
            cluster.set_log_faults(&json!({ "outage": true }))?;
            thread::sleep(FAULT);
            cluster.set_log_faults(&json!({ "lose_answers": 3 }))?;
            Ok(None)
        }
        Fault::MapSwitch => {
            let group = await_switch(cluster, 0)?;
            let map = group["map"].as_u64().unwrap_or_default();
            eprintln!(
                "xtask: map {map} is in use at step {}, {} step times without a permit",
                group["step"], group["held_steps"]
            );
            if group["held_steps"] != 0 {
                return Err(StepError::Check("the switch stalled the group".into()));
            }
            eprintln!("xtask: kills the agent of a rank");
            signal(&cluster.agents[1].process, Signal::KILL)?;
            thread::sleep(AWAY);
            cluster.restart_agent(1)?;
            let step = group["step"].as_u64();
            await_step(cluster, step.unwrap_or_default() + STEPS_AFTER_RESTART)?;
            Ok(None)
        }
    }
}

fn signal(process: &Process, signal: Signal) -> Result<(), StepError> {
    process.signal(signal).map_err(|error| StepError::Start(format!("signal {}", process.name()), error))
}

fn load_time(fault: Fault) -> Duration {
    if fault == Fault::MapSwitch { SWITCH_LOAD } else { LOAD }
}

fn load_args(fault: Fault, seed: u64) -> Vec<String> {
    let mut args = strings(&[
        "--seed",
        &seed.to_string(),
        "--duration-ms",
        &load_time(fault).as_millis().to_string(),
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
    // Each fault is met by the work that it can harm.
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
