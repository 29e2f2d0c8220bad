//! A cluster of entry instances, agents and fakes of the platform services, as processes on loopback.

use std::{
    fs,
    io::{self, Read},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    byte_meter::ByteMeter,
    process::Process,
    steps::{StepError, cargo},
};

/// The packages of the programs that a cluster runs.
const PACKAGES: [&str; 4] = ["fuchsiabay", ENTRY_PROGRAM, AGENT_PROGRAM, "fuchsiabay-bench"];
const ENTRY_PROGRAM: &str = "fuchsiabay-entry";
const AGENT_PROGRAM: &str = "fuchsiabay-agent";
const ZONES: [&str; 3] = ["dakar-a", "dakar-b", "dakar-c"];
/// The configuration that is published in a cluster.
const CONFIGURATION_PATH: &str = "examples/dakar/configuration.jsonc";
/// The time within which every daemon must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of experts of a group.
pub(crate) const GROUP_EXPERTS: usize = 16;
/// The duration of a step of a group, in microseconds.
pub(crate) const GROUP_STEP_US: u64 = 6_000;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The build profile of the programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Profile {
    /// Not optimised, so that the build is fast.
    Dev,
    /// Optimised, so that measurements are representative.
    Release,
}

/// The composition of a cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterPlan {
    pub(crate) profile: Profile,
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) slots: u32,
    /// Agents beside each engine. If there are several, each runs one rank of a group on that engine.
    pub(crate) agents_per_engine: usize,
    /// Additional arguments of each fake engine.
    pub(crate) engine_args: Vec<String>,
    /// Additional arguments of each fake plain service.
    pub(crate) service_args: Vec<String>,
}

/// An entry instance or an agent.
pub(crate) struct Daemon {
    pub(crate) process: Process,
    program: &'static str,
    settings: PathBuf,
    /// The entry of the daemon in the instance list.
    list_entry: Value,
    ops_address: SocketAddr,
    /// The URL at which callers reach an entry instance.
    pub(crate) url: String,
}

/// A fake of the log, the instance list, an engine or a plain service, in a process of its own.
pub(crate) struct FakeServer {
    pub(crate) process: Process,
    args: Vec<String>,
    pub(crate) url: String,
}

/// A running cluster. Dropping it stops every process.
pub(crate) struct Cluster {
    bin: PathBuf,
    dir: PathBuf,
    /// Whether the directory with settings and logs is kept when the cluster is dropped.
    keep_dir: bool,
    pub(crate) log: FakeServer,
    pub(crate) instance_list: FakeServer,
    pub(crate) engines: Vec<FakeServer>,
    pub(crate) services: Vec<FakeServer>,
    pub(crate) entries: Vec<Daemon>,
    /// The agents of the engines, then those of the plain services.
    pub(crate) agents: Vec<Daemon>,
}

impl Cluster {
    /// Builds the programs, starts every process, publishes the configuration and waits until all daemons are ready.
    pub(crate) fn start(plan: &ClusterPlan) -> Result<Self, StepError> {
        let bin = build(plan.profile, &PACKAGES)?;
        let dir = std::env::temp_dir().join(format!("fuchsiabay-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(io_error("create the temporary directory"))?;
        let start = |name: &str, args: &[String]| {
            FakeServer::start(&bin, &dir, name, args, &format!("{}:0", loopback_address()))
        };
        let log = start("log", &strings(&["log"]))?;
        let instance_list = start("list", &strings(&["list"]))?;
        let engine_slots = plan.slots as usize * plan.agents_per_engine;
        let engine_args =
            [strings(&["engine", "--slots", &engine_slots.to_string()]), plan.engine_args.clone()];
        let service_args = [strings(&["service"]), plan.service_args.clone()];
        let engines = (0..plan.engines).map(|i| start(&format!("engine-{i}"), &engine_args.concat()));
        let engines = engines.collect::<Result<Vec<_>, _>>()?;
        let services = (0..plan.services).map(|i| start(&format!("service-{i}"), &service_args.concat()));
        let services = services.collect::<Result<Vec<_>, _>>()?;
        let mut cluster = Self {
            bin,
            dir,
            keep_dir: true,
            log,
            instance_list,
            engines,
            services,
            entries: vec![],
            agents: vec![],
        };
        cluster.start_daemons(plan)?;
        cluster.set_instance_list(|_| true)?;
        cluster.publish()?;
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    /// Sets the instance list to the daemons whose names satisfy `keep`.
    pub(crate) fn set_instance_list(&self, keep: impl Fn(&str) -> bool) -> Result<(), StepError> {
        let daemons = self.entries.iter().chain(&self.agents);
        let kept = daemons.filter(|daemon| keep(daemon.process.name())).map(|daemon| &daemon.list_entry);
        let body = json!({ "instances": kept.collect::<Vec<_>>() });
        self.call("POST", &format!("{}/instances", self.instance_list.url), Some(&body)).map(|_| ())
    }

    /// Puts a byte meter between the entry instances and each agent, and waits until every meter is in use.
    pub(crate) fn meter_agents(&mut self) -> Result<Vec<ByteMeter>, StepError> {
        let mut meters = Vec::new();
        for agent in &mut self.agents {
            let target = agent.list_entry["peer"].as_str().unwrap_or_default().parse();
            let target =
                target.map_err(|_| StepError::Check("the agent has no valid peer address".into()))?;
            let meter = ByteMeter::start(target).map_err(io_error("start a byte meter"))?;
            agent.list_entry["peer"] = json!(meter.local_addr());
            meters.push(meter);
        }
        self.set_instance_list(|_| true)?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while meters.iter().any(|meter| meter.received() == 0) {
            if Instant::now() >= deadline {
                return Err(StepError::Check(
                    "no entry instance connected to the new address of an agent in time".into(),
                ));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(meters)
    }

    /// Sets the faults of the fake log.
    pub(crate) fn set_log_faults(&self, faults: &Value) -> Result<(), StepError> {
        self.call("POST", &format!("{}/faults", self.log.url), Some(faults)).map(|_| ())
    }

    /// Restarts an engine at the same address.
    pub(crate) fn restart_engine(&mut self, i: usize) -> Result<(), StepError> {
        let (bin, dir) = (&self.bin, &self.dir);
        let engine = &mut self.engines[i];
        engine.process.kill();
        let address = engine.url.trim_start_matches("http://").to_owned();
        *engine = FakeServer::start(bin, dir, &format!("engine-{i}"), &engine.args, &address)?;
        Ok(())
    }

    /// Restarts an agent with the same name and settings.
    pub(crate) fn restart_agent(&mut self, i: usize) -> Result<(), StepError> {
        let (bin, dir) = (&self.bin, &self.dir);
        let agent = &mut self.agents[i];
        agent.process.kill();
        agent.process = start_daemon(bin, dir, agent.program, agent.process.name(), &agent.settings)?;
        Ok(())
    }

    /// Starts the load generator with the URLs of the entry instances and plain services, and `args`.
    pub(crate) fn start_load(&self, args: &[String]) -> Result<Process, StepError> {
        let mut all = strings(&["load"]);
        for entry in &self.entries {
            all.extend(strings(&["--entry", &entry.url]));
        }
        for service in &self.services {
            all.extend(strings(&["--effects", &service.url]));
        }
        all.extend_from_slice(args);
        self.start_direct_load(&all)
    }

    /// Starts the load generator with exactly `args`.
    pub(crate) fn start_direct_load(&self, args: &[String]) -> Result<Process, StepError> {
        Process::start("load", &self.bin.join("fuchsiabay-bench"), args, &self.dir.join("load.log"))
            .map_err(io_error("start the load generator"))
    }

    /// Sends a request and returns the response body. A response without a success status is an error.
    pub(crate) fn call(&self, method: &str, url: &str, body: Option<&Value>) -> Result<String, StepError> {
        let mut command = Command::new(self.bin.join("fuchsiabay-bench"));
        command.args(["call", method, url]);
        if let Some(body) = body {
            command.arg(body.to_string());
        }
        let output = command.output().map_err(io_error("run `fuchsiabay-bench call`"))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            let error = String::from_utf8_lossy(&output.stderr);
            return Err(StepError::Check(format!("{method} {url}: {text}{error}")));
        }
        Ok(text)
    }

    /// Returns the sum of a metric over all its labels and all daemons except the one named `stopped`.
    pub(crate) fn metric(&self, name: &str, stopped: Option<&str>) -> Result<u64, StepError> {
        let mut sum = 0.0;
        let daemons = self.entries.iter().chain(&self.agents);
        for daemon in daemons.filter(|daemon| Some(daemon.process.name()) != stopped) {
            let metrics = self.call("GET", &format!("http://{}/metrics", daemon.ops_address), None)?;
            let samples = metrics.lines().filter_map(|line| line.rsplit_once(' '));
            let matching = samples.filter(|(key, _)| key.split('{').next() == Some(name));
            sum += matching.filter_map(|(_, value)| value.parse::<f64>().ok()).sum::<f64>();
        }
        Ok(sum as u64)
    }

    /// Stops every process and removes the directory with its settings and logs.
    pub(crate) fn finish(mut self) {
        self.keep_dir = false;
    }

    fn start_daemons(&mut self, plan: &ClusterPlan) -> Result<(), StepError> {
        let engine_agents = plan.engines * plan.agents_per_engine;
        let addresses = free_addresses(3 * plan.entries + 2 * (engine_agents + plan.services))?;
        let mut addresses = addresses.into_iter();
        let mut next = || addresses.next().unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        for i in 0..plan.entries {
            let (listen, peer, ops_address) = (next(), next(), next());
            let mut settings = self.common_settings(&format!("entry-{i}"), i, peer, ops_address);
            settings["listen"] = json!(listen);
            self.entries.push(self.start_daemon(ENTRY_PROGRAM, settings, None)?);
        }
        for i in 0..engine_agents + plan.services {
            let (peer, ops_address) = (next(), next());
            let is_engine = i < engine_agents;
            let (kind, service, url, name) = if is_engine {
                let url = &self.engines[i / plan.agents_per_engine].url;
                ("model", "assistant", url, format!("engine-agent-{i}"))
            } else {
                let i = i - engine_agents;
                ("plain", "booking", &self.services[i].url, format!("service-agent-{i}"))
            };
            let mut backend = json!({ "kind": kind, "service": service, "url": url, "slots": plan.slots });
            if is_engine && plan.agents_per_engine > 1 {
                backend["group"] = group_settings(i, plan.agents_per_engine);
            }
            let mut settings = self.common_settings(&name, i, peer, ops_address);
            settings["backend"] = backend;
            self.agents.push(self.start_daemon(AGENT_PROGRAM, settings, Some(service))?);
        }
        Ok(())
    }

    fn common_settings(&self, name: &str, i: usize, peer: SocketAddr, ops_address: SocketAddr) -> Value {
        json!({
            "instance": name,
            "zone": ZONES[i % ZONES.len()],
            "region": "dakar",
            "peer_listen": peer,
            "ops_listen": ops_address,
            "log_url": self.log.url,
            "list_url": self.instance_list.url,
            "shared_key": "key-of-a-demo-on-loopback",
        })
    }

    fn start_daemon(
        &self,
        program: &'static str,
        settings: Value,
        service: Option<&str>,
    ) -> Result<Daemon, StepError> {
        let name = settings["instance"].as_str().unwrap_or_default().to_owned();
        let path = self.dir.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string()).map_err(io_error("write settings"))?;
        let mut list_entry = json!({
            "id": name,
            "role": if service.is_some() { "agent" } else { "entry" },
            "zone": settings["zone"],
            "peer": settings["peer_listen"],
            // 0 means that the instance list does not know the generation. Peers learn it from the handshake.
            "generation": 0,
            "state": "live",
        });
        if let Some(service) = service {
            list_entry["service"] = json!(service);
        }
        let address = |field: &str| settings[field].as_str().unwrap_or_default();
        Ok(Daemon {
            process: start_daemon(&self.bin, &self.dir, program, &name, &path)?,
            program,
            settings: path,
            list_entry,
            ops_address: address("ops_listen")
                .parse()
                .map_err(|_| StepError::Check("the settings have no valid `ops_listen` address".into()))?,
            url: format!("http://{}", address("listen")),
        })
    }

    fn publish(&self) -> Result<(), StepError> {
        let output = Command::new(self.bin.join("fuchsiabay"))
            .args(["publish", "--log-url", &self.log.url, CONFIGURATION_PATH])
            .output()
            .map_err(io_error("run `fuchsiabay publish`"))?;
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            return Err(StepError::Check(format!(
                "`fuchsiabay publish` failed: {text}{}",
                String::from_utf8_lossy(&output.stderr)
            )));
        }
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), StepError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in self.entries.iter().chain(&self.agents) {
            let url = format!("http://{}/readyz", daemon.ops_address);
            while let Err(error) = self.call("GET", &url, None) {
                if Instant::now() >= deadline {
                    let name = daemon.process.name();
                    return Err(StepError::Check(format!("{name} did not become ready in time: {error}")));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let fakes = [&mut self.log, &mut self.instance_list].into_iter();
        let fakes = fakes.chain(&mut self.engines).chain(&mut self.services);
        let daemons = self.entries.iter_mut().chain(&mut self.agents).map(|daemon| &mut daemon.process);
        daemons.chain(fakes.map(|fake| &mut fake.process)).for_each(Process::kill);
        if self.keep_dir {
            eprintln!("xtask: settings and logs are kept in {}", self.dir.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl FakeServer {
    fn start(bin: &Path, dir: &Path, name: &str, args: &[String], address: &str) -> Result<Self, StepError> {
        let log = dir.join(format!("{name}.log"));
        let all = [args, &strings(&["--listen", address])].concat();
        let mut process = Process::start(name, &bin.join("fuchsiabay-bench"), &all, &log)
            .map_err(io_error("start a fake server"))?;
        let line = process.first_line().map_err(io_error("read the address of a fake server"))?;
        let Some(address) = line.trim_end().strip_prefix("listening ") else {
            return Err(StepError::Check(format!("{name} printed `{line}` instead of its address")));
        };
        Ok(Self { process, args: args.to_vec(), url: format!("http://{address}") })
    }
}

/// Returns the group settings of the engine agent `i`. The placement is planned every second, so that a short run
/// includes a map switch.
fn group_settings(i: usize, ranks: usize) -> Value {
    json!({
        "name": format!("group-{}", i / ranks),
        "rank": i % ranks,
        "group_ranks": ranks,
        "experts": GROUP_EXPERTS,
        "expert_slots": 6,
        "step_us": GROUP_STEP_US,
        "plan_ms": 1_000,
    })
}

/// Reads the standard output of a process until the process closes it.
pub(crate) fn read_to_end(process: &mut Process) -> Result<String, StepError> {
    let mut text = String::new();
    if let Some(mut stdout) = process.stdout() {
        stdout.read_to_string(&mut text).map_err(io_error("read the output of a process"))?;
    }
    Ok(text)
}

/// Returns the arguments as owned strings.
pub(crate) fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}

fn start_daemon(
    bin: &Path,
    dir: &Path,
    program: &str,
    name: &str,
    settings: &Path,
) -> Result<Process, StepError> {
    let log = dir.join(format!("{name}.log"));
    let args = strings(&[&settings.to_string_lossy()]);
    let mut process = Process::start(name, &bin.join(program), &args, &log).map_err(io_error(program))?;
    process.log_stdout(&log).map_err(io_error(program))?;
    Ok(process)
}

fn build(profile: Profile, packages: &[&str]) -> Result<PathBuf, StepError> {
    let mut args = vec!["build", "--locked", "--quiet"];
    if profile == Profile::Release {
        args.push("--release");
    }
    args.extend(packages.iter().flat_map(|package| ["--package", package]));
    cargo(&args, &[])?;
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| PathBuf::from("target"), PathBuf::from);
    Ok(target.join(if profile == Profile::Release { "release" } else { "debug" }))
}

/// Returns addresses with free ports chosen by the kernel. All ports stay bound until the last one is known, so that
/// they are distinct.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, StepError> {
    let bind = |_| TcpListener::bind((loopback_address(), 0));
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<_>>>();
    let listeners = listeners.map_err(io_error("find free ports"))?;
    let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>();
    addresses.map_err(io_error("find free ports"))
}

/// Returns a loopback address that only this process and its children use. On 127.0.0.1, an outgoing connection might
/// take a port that was found free, or whose daemon was killed, before the daemon binds it.
fn loopback_address() -> Ipv4Addr {
    /// The lowest N of the 64 networks 127.N.0.0/16 from which the addresses are taken.
    const FIRST_NETWORK: u8 = 64;
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, FIRST_NETWORK + high % 64, middle, low)
}

fn io_error(step: &str) -> impl Fn(io::Error) -> StepError {
    let step = step.to_owned();
    move |error| StepError::Io(step.clone(), error)
}
