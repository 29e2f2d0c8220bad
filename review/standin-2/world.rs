//! Workers, the entry processes and the platform's part in them, and the record of a run.

use std::{
    collections::HashSet,
    error::Error,
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, call, encode_answer, read_request},
    store::Store,
};

pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

// Bounds of the site `crackleleaf-bne`.
pub const CONTACT_MS: u64 = 3_000;
pub const HEARTBEAT_MS: u64 = 1_200;
const GRACE_S: u64 = 8;
const RETRY_SLACK: u64 = 90;

/// The slots of a worker, and the requests that it queues.
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;

/// The port for metrics that the template states.
const METRICS_PORT: u16 = 9464;

const ZONES: [&str; 3] = ["seq-a", "seq-b", "seq-c"];

/// Returns a random number.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_nanos() as u64);
    let seed = now ^ u64::from(std::process::id()) << 32;
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed) ^ seed;
    for _ in 0..3 {
        x = (x ^ x >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    x ^ x >> 29
}

/// Returns a random number from 0 to 1.
pub fn random_share() -> f64 {
    random() as f64 / u64::MAX as f64
}

/// The file that lists what was sent, answered and run.
pub struct Record {
    begun_at: Instant,
    file: Mutex<File>,
}

impl Record {
    fn new(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self { begun_at: Instant::now(), file })
    }

    /// Returns the seconds since the start of the script.
    pub fn now(&self) -> f64 {
        self.begun_at.elapsed().as_secs_f64()
    }

    pub fn sleep_until(&self, at: f64) {
        thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("the record can be written");
    }
}

/// A request that a worker has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub worker: String,
    pub request: Request,
}

/// Decides what a worker does with a request.
pub struct Behaviour {
    pub crashes_under: fn(&Request) -> bool,
    /// How long the worker works on a request, in seconds.
    pub work_s: fn() -> f64,
    /// For how long it is down after a crash, in seconds.
    pub down_s: f64,
}

struct Incarnation {
    id: String,
    born: u64,
    seq: u64,
    is_up: bool,
    running: u32,
    connections: Vec<TcpStream>,
}

/// A sound worker of a plain service. It answers 421 to a request that expects another instance.
pub struct Worker {
    pub service: &'static str,
    zone: &'static str,
    addr: SocketAddr,
    behaviour: Behaviour,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<Incarnation>,
    pub runs: Mutex<Vec<Run>>,
}

impl Worker {
    /// Returns the worker's id and its next entry as another writer sets it: for `service`, and without the field `version`.
    pub fn foreign_entry(&self, service: &str) -> (String, String) {
        let state = self.state.lock().unwrap();
        (state.id.clone(), self.entry(service, &state, state.seq + 1, false))
    }

    fn entry(&self, service: &str, state: &Incarnation, seq: u64, has_version: bool) -> String {
        let version = if has_version { "\"version\":\"v1\"," } else { "" };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",{version}\"slots\":{SLOTS},\"state\":\"ready\",\
             \"cold_left_ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.addr, self.zone, state.born
        )
    }

    fn new_incarnation() -> Incarnation {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64);
        let id = format!("i-{:010x}", random() >> 24);
        Incarnation { id, born, seq: 0, is_up: true, running: 0, connections: Vec::new() }
    }

    fn send_heartbeats(self: &Arc<Self>) {
        let worker = self.clone();
        let id = self.state.lock().unwrap().id.clone();
        thread::spawn(move || {
            loop {
                let mut state = worker.state.lock().unwrap();
                if state.id != id || !state.is_up {
                    break;
                }
                state.seq += 1;
                let entry = worker.entry(worker.service, &state, state.seq, true);
                worker.store.put("keyed.servers", &id, Some(entry.as_bytes()));
                drop(state);
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
            // The platform removes the entry after three check-in intervals of silence.
            thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS));
            worker.store.put("keyed.servers", &id, None);
        });
    }

    /// Accepts connections until the worker crashes, which closes `listener`, so that further ones are refused.
    fn accept(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let worker = self.clone();
        thread::spawn(move || {
            while worker.state.lock().unwrap().is_up {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let worker = worker.clone();
                thread::spawn(move || drop(worker.serve(stream)));
            }
        });
        Ok(())
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return Ok(());
            }
            state.connections.push(stream.try_clone()?);
        }
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let Some(answer) = self.handle(&request) else {
                break;
            };
            writer.write_all(&answer)?;
        }
        Ok(())
    }

    /// Returns the answer, or None if the worker has crashed.
    fn handle(self: &Arc<Self>, request: &Request) -> Option<Vec<u8>> {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return None;
        }
        let id = state.id.clone();
        let echo = request.get("request-id").map_or(String::new(), |id| format!("Request-Id: {id}\r\n"));
        if request.get("expect-instance").is_some_and(|expected| expected != id) {
            return Some(encode_answer(421, &format!("{echo}Instance-Id: {id}\r\n"), b""));
        }
        if state.running >= SLOTS + QUEUE {
            return Some(encode_answer(503, &format!("{echo}Not-Executed: 1\r\n"), b""));
        }
        let run = Run { at: self.record.now(), worker: id.clone(), request: request.clone() };
        self.runs.lock().unwrap().push(run);
        if (self.behaviour.crashes_under)(request) {
            self.crash(&mut state);
            return None;
        }
        state.running += 1;
        drop(state);
        thread::sleep(Duration::from_secs_f64((self.behaviour.work_s)()));
        let mut state = self.state.lock().unwrap();
        if state.id != id || !state.is_up {
            return None;
        }
        state.running -= 1;
        let stamp = format!("Server-Stamp: {id}.{:08x}\r\nServer-Load: {},0,{SLOTS}\r\n", random() >> 32, state.running);
        Some(encode_answer(200, &format!("{echo}{stamp}"), b"done"))
    }

    fn crash(self: &Arc<Self>, state: &mut Incarnation) {
        state.is_up = false;
        self.record.write(&format!("worker {} at {} crashes", state.id, self.addr));
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(worker.behaviour.down_s));
            let listener = TcpListener::bind(worker.addr).expect("the address of the worker is free");
            *worker.state.lock().unwrap() = Self::new_incarnation();
            let id = worker.state.lock().unwrap().id.clone();
            worker.record.write(&format!("worker {id} at {} starts", worker.addr));
            worker.accept(listener).expect("the worker can listen");
            worker.send_heartbeats();
        });
    }
}

/// One entry process, started as the deploy file says.
pub struct Entry {
    pub name: String,
    pub ingress: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    temp: PathBuf,
    record: Arc<Record>,
    process: Option<Child>,
}

impl Entry {
    fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(self.temp.join(format!("{}.log", self.name)))?;
        let child = Command::new("target/release/fuchsiabay-gateway")
            .arg("entry")
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())))
            .env("FUCHSIABAY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // run.sh ends what is listed here if this process is killed.
        let mut pids = File::options().create(true).append(true).open(self.temp.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.process = Some(child);
        self.record.write(&format!("entry {} starts", self.name));
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let limit = Duration::from_secs(1);
            let answer = call(self.readiness, "GET", "/readyz", "Host: platform\r\n", b"", limit);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} does not become ready", self.name).into())
    }
}

/// The store, the entry processes and the workers of one run.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub entries: Vec<Entry>,
    pub workers: Vec<Arc<Worker>>,
    net: String,
}

impl World {
    pub fn new(folder: &Path, temp: &Path, entries: usize) -> Result<Self> {
        let record = Arc::new(Record::new(folder)?);
        let (net, ips) = free_addresses(entries)?;
        let store = Store::start(&format!("{net}.1"))?;
        let ports = free_ports(&ips, 4)?;
        let control: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports[2])).collect();
        let seeds = format!("[{}]", control.join(","));
        let mut all = Vec::new();
        for (i, ip) in ips.iter().enumerate() {
            let name = format!("edge-{}", i + 1);
            let settings = temp.join(format!("{name}.jsonc"));
            fs::write(&settings, settings_of(&name, ZONES[i % 3], ip, &ports, &seeds, store.addr)?)?;
            let addr = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>();
            let (ingress, readiness) = (addr(ports[0])?, addr(ports[1])?);
            let (temp, record) = (temp.to_owned(), record.clone());
            all.push(Entry { name, ingress, readiness, settings, temp, record, process: None });
        }
        Ok(Self { record, store, entries: all, workers: Vec::new(), net })
    }

    pub fn add_worker(&mut self, service: &'static str, behaviour: Behaviour) -> Result<()> {
        let i = self.workers.len();
        let listener = TcpListener::bind((format!("{}.{}", self.net, 100 + i), 0))?;
        let worker = Arc::new(Worker {
            service,
            zone: ZONES[i % 3],
            addr: listener.local_addr()?,
            behaviour,
            store: self.store.clone(),
            record: self.record.clone(),
            state: Mutex::new(Worker::new_incarnation()),
            runs: Mutex::default(),
        });
        worker.accept(listener)?;
        worker.send_heartbeats();
        self.workers.push(worker);
        Ok(())
    }

    /// Starts all entry processes and waits until they are ready.
    pub fn start(&mut self) -> Result<()> {
        self.start_entries()?;
        self.entries.iter().try_for_each(Entry::wait_until_ready)
    }

    pub fn start_entries(&mut self) -> Result<()> {
        self.entries.iter_mut().try_for_each(Entry::start)
    }

    /// Kills all entry processes at the same moment.
    pub fn kill_all(&mut self) -> Result<()> {
        for entry in &mut self.entries {
            if let Some(child) = &mut entry.process {
                child.kill()?;
            }
        }
        for entry in &mut self.entries {
            if let Some(mut child) = entry.process.take() {
                child.wait()?;
                self.record.write(&format!("entry {} is killed", entry.name));
            }
        }
        Ok(())
    }

    /// Returns all runs, in the order of their times, each with the service of its worker.
    pub fn runs(&self) -> Vec<(&'static str, Run)> {
        let runs = |worker: &Arc<Worker>| -> Vec<(&'static str, Run)> {
            worker.runs.lock().unwrap().iter().map(|run| (worker.service, run.clone())).collect()
        };
        let mut all: Vec<_> = self.workers.iter().flat_map(runs).collect();
        all.sort_by(|(_, a), (_, b)| a.at.total_cmp(&b.at));
        all
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if let Err(error) = self.kill_all() {
            eprintln!("standin: cannot end a process: {error}");
        }
    }
}

/// Renders platform/settings.template.jsonc as the platform does.
fn settings_of(
    name: &str,
    zone: &str,
    ip: &str,
    ports: &[u16],
    seeds: &str,
    store: SocketAddr,
) -> Result<String> {
    let mut text = fs::read_to_string("platform/settings.template.jsonc")?;
    for section in ["bounds.cold_overage", "bounds.cold_slack"] {
        let (begin, end) = (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"));
        let (Some(from), Some(to)) = (text.find(&begin), text.find(&end)) else {
            return Err(format!("the template has no section {section}").into());
        };
        text.replace_range(from..to + end.len(), "");
    }
    let values = [
        ("node_name", name.to_owned()),
        ("zone", zone.to_owned()),
        ("listen.ingress", format!("{ip}:{}", ports[0])),
        ("listen.readiness", format!("{ip}:{}", ports[1])),
        ("ip", ip.to_owned()),
        ("platform.address", store.to_string()),
        ("listen.control", format!("{ip}:{}", ports[2])),
        ("seeds|json", seeds.to_owned()),
        ("internal_ports.0", ports[3].to_string()),
        ("bounds.retry_ratio", "0.2".to_owned()),
        ("bounds.retry_slack", RETRY_SLACK.to_string()),
        ("bounds.retry_window_s", "10".to_owned()),
        ("bounds.grace_s", GRACE_S.to_string()),
        ("limits.max_fds", "4200".to_owned()),
        ("limits.cpus", "1".to_owned()),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    Ok(text)
}

fn is_free(ip: &str, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok()
}

/// Returns a loopback /24 and addresses in it at which the port for metrics is free.
fn free_addresses(entries: usize) -> Result<(String, Vec<String>)> {
    for _ in 0..100 {
        let net = format!("127.{}.{}", 60 + random() % 190, 1 + random() % 250);
        let ips: Vec<String> = (0..entries).map(|i| format!("{net}.{}", 10 + i)).collect();
        if ips.iter().all(|ip| is_free(ip, METRICS_PORT)) {
            return Ok((net, ips));
        }
    }
    Err("no free addresses".into())
}

/// Returns ports that are free at all of `ips`, since ports are the same on all machines.
fn free_ports(ips: &[String], count: usize) -> Result<Vec<u16>> {
    let mut ports: Vec<u16> = Vec::new();
    let mut seen = HashSet::new();
    for _ in 0..1_000 {
        let port = TcpListener::bind((ips[0].as_str(), 0))?.local_addr()?.port();
        if seen.insert(port) && ips.iter().all(|ip| is_free(ip, port)) {
            ports.push(port);
        }
        if ports.len() == count {
            return Ok(ports);
        }
    }
    Err("no free ports".into())
}
