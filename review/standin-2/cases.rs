//! The cases.

use std::{
    collections::{HashMap, HashSet},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Request, call},
    world::{Behaviour, CONTACT_MS, Record, Result, World, random, random_share},
};

const HOST: &str = "shop.example";

/// The time limit of consumers, and the route's, in milliseconds, as in the site file.
const TIME_LIMIT_MS: u64 = 1_500;
const ROUTE_TIMEOUT_MS: u64 = 800;

/// The work of a request, in seconds, as in the site file.
const MEAN_WORK_S: f64 = 0.015;
const MAX_WORK_S: f64 = 0.11;

fn work_s() -> f64 {
    (-MEAN_WORK_S * random_share().max(1e-9).ln()).min(MAX_WORK_S)
}

fn json_route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_ms\":{ROUTE_TIMEOUT_MS},\
         \"goal_ms\":100,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"public\":true,\"sticky\":false,\"resumable\":false}}"
    )
}

fn config(routes: &[String], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}")
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// What consumers have sent, and how it was answered.
#[derive(Default)]
struct Sent {
    /// The status of each request, 0 if there was no answer, with the time of the answer.
    answers: Mutex<HashMap<String, (u16, f64)>>,
}

impl Sent {
    fn send(&self, record: &Record, entry: (&str, std::net::SocketAddr), method: &str, target: &str) -> u16 {
        let id = format!("{:016x}", random());
        let lines = format!("Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {TIME_LIMIT_MS}\r\n");
        let body = if method == "POST" { id.as_bytes() } else { b"" };
        let limit = Duration::from_millis(TIME_LIMIT_MS);
        let answer = call(entry.1, method, target, &lines, body, limit);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let text = match &answer {
            Ok(answer) => format!("{status}, {} bytes", answer.body.len()),
            Err(error) => format!("no answer ({error})"),
        };
        record.write(&format!("request {id} {method} {target} sent to {}: {text}", entry.0));
        self.answers.lock().unwrap().insert(id, (status, record.now()));
        status
    }

    fn count(&self) -> (usize, usize) {
        let answers = self.answers.lock().unwrap();
        (answers.len(), answers.values().filter(|(status, _)| *status == 200).count())
    }
}

/// Consumers that send requests until they are stopped.
struct Consumers {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Consumers {
    /// Starts one consumer for each entry process and each kind of request: its method, path and requests a second.
    fn start(world: &World, sent: &Arc<Sent>, kinds: &[(&'static str, &'static str, f64)]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for entry in &world.entries {
            for (method, prefix, per_s) in kinds.iter().copied() {
                let (stop, sent, record) = (stop.clone(), sent.clone(), world.record.clone());
                let (name, addr) = (entry.name.clone(), entry.ingress);
                threads.push(thread::spawn(move || {
                    let mut n = 0;
                    while !stop.load(Ordering::Relaxed) {
                        n += 1;
                        sent.send(&record, (&name, addr), method, &format!("{prefix}{}", 1_000 + n % 500));
                        thread::sleep(Duration::from_secs_f64((0.5 + random_share()) / per_s));
                    }
                }));
            }
        }
        Self { stop, threads }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a consumer does not panic");
        }
    }
}

/// An entry of another writer, in which a field is missing, takes the place of that of a worker of another service.
pub fn route(folder: &Path, temp: &Path, trouble: bool) -> Result<bool> {
    const FOREIGN_ENTRIES: usize = 5;
    const FIRST_AT_S: f64 = 5.0;
    const INTERVAL_S: f64 = 4.0;
    const ENDS_AT_S: f64 = 26.0;
    let mut world = World::new(folder, temp, 2)?;
    for service in ["orders", "orders", "orders", "billing", "billing"] {
        world.add_worker(service, Behaviour { crashes_under: |_| false, work_s, down_s: 0.0 })?;
    }
    let routes = [
        json_route("r-order", "/order/", "unsafe", "orders"),
        json_route("r-bill", "/bill/", "unsafe", "billing"),
    ];
    world.store.put("keyed.op", "config", Some(config(&routes, &["orders", "billing"]).as_bytes()));
    world.start()?;
    let begin = world.record.now();
    let sent = Arc::new(Sent::default());
    let consumers = Consumers::start(&world, &sent, &[("POST", "/order/", 5.0), ("POST", "/bill/", 5.0)]);
    for n in 0..FOREIGN_ENTRIES {
        world.record.sleep_until(begin + FIRST_AT_S + INTERVAL_S * n as f64);
        if trouble {
            let (id, entry) = world.workers[3 + n % 2].foreign_entry("orders");
            world.store.put("keyed.servers", &id, Some(entry.as_bytes()));
            world.record.write(&format!("store: another writer sets servers/{id}: {entry}"));
        }
    }
    world.record.sleep_until(begin + ENDS_AT_S);
    consumers.stop();
    let mut wrong = 0;
    for (service, run) in world.runs() {
        let allowed = if run.request.target.starts_with("/order/") { "orders" } else { "billing" };
        let is_wrong = service != allowed;
        wrong += usize::from(is_wrong);
        let mark = if is_wrong { "  ROUTE: NOT ITS SERVICE" } else { "" };
        write_run(&world.record, &run, &format!(" of {service}{mark}"));
    }
    let (count, served) = sent.count();
    let summary = format!("{count} requests, {served} served; {wrong} requests to `orders` were run by workers of `billing`");
    world.record.write(&summary);
    println!("{summary}");
    if served < count / 2 {
        return Err("the deployment does not serve".into());
    }
    Ok(wrong > 0)
}

fn write_run(record: &Record, run: &crate::world::Run, end: &str) {
    let Request { method, target, .. } = &run.request;
    let id = run.request.get("request-id").unwrap_or_default();
    record.write(&format!("run at {:.3} s of {id} {method} {target} by {}{end}", run.at, run.worker));
}

/// All entry processes are killed at once after a request that crashes workers has been quarantined.
pub fn budget(folder: &Path, temp: &Path, trouble: bool) -> Result<bool> {
    const DEADLY: &str = "/status/9017";
    const KILLS_AT_S: [f64; 2] = [6.5, 15.0];
    const RESTART_S: f64 = 0.5;
    /// How long after a kill the processes have been started again at the latest.
    const STARTED_S: f64 = RESTART_S + 0.2;
    // Within 20 s, and less than 3 in 100 of the requests of its kind.
    const DEADLY_AT_S: [f64; 9] = [3.0, 4.5, 5.8, 10.6, 13.3, 14.6, 19.0, 21.7, 22.8];
    const ENDS_AT_S: f64 = 25.0;
    const MAX_RETRIES: usize = 3;
    let mut world = World::new(folder, temp, 2)?;
    for _ in 0..3 {
        let crashes_under = |request: &Request| request.target == DEADLY;
        world.add_worker("orders", Behaviour { crashes_under, work_s, down_s: 2.5 })?;
    }
    let routes = [
        json_route("r-status", "/status/", "safe", "orders"),
        json_route("r-print", "/print/", "unsafe", "orders"),
    ];
    world.store.put("keyed.op", "config", Some(config(&routes, &["orders"]).as_bytes()));
    world.start()?;
    let begin = world.record.now();
    let sent = Arc::new(Sent::default());
    let consumers = Consumers::start(&world, &sent, &[("GET", "/status/", 12.0), ("POST", "/print/", 3.0)]);
    let deadly = {
        let entries: Vec<_> = world.entries.iter().map(|entry| (entry.name.clone(), entry.ingress)).collect();
        let record = world.record.clone();
        thread::spawn(move || {
            let sent = Sent::default();
            for (n, at) in DEADLY_AT_S.iter().enumerate() {
                record.sleep_until(begin + at);
                let (name, addr) = &entries[n % entries.len()];
                sent.send(&record, (name, *addr), "GET", DEADLY);
            }
        })
    };
    for at in KILLS_AT_S {
        world.record.sleep_until(begin + at);
        if trouble {
            world.kill_all()?;
            thread::sleep(Duration::from_secs_f64(RESTART_S));
            world.start_entries()?;
        }
    }
    world.record.sleep_until(begin + ENDS_AT_S);
    consumers.stop();
    deadly.join().expect("the consumer does not panic");

    let contact_s = CONTACT_MS as f64 / 1_000.0;
    let is_in_touch = |at: f64| {
        let disturbs = |kill: &f64| (begin + kill..begin + kill + STARTED_S + contact_s).contains(&at);
        !trouble || !KILLS_AT_S.iter().any(disturbs)
    };
    let mut crashes: Vec<f64> = Vec::new();
    let (mut counted, mut same_kind) = (0, 0);
    // A retry is one attempt of the consumer, whatever the number of workers that it reaches.
    let mut retries = HashSet::new();
    for (_, run) in world.runs() {
        if run.request.target != DEADLY {
            same_kind += usize::from(run.request.method == "GET");
            write_run(&world.record, &run, "");
            continue;
        }
        crashes.push(run.at);
        let is_counted = crashes.len() > 3 && run.at > crashes[2] + contact_s && is_in_touch(run.at);
        if is_counted {
            counted += 1;
            retries.insert(run.request.get("request-id").unwrap_or_default().to_owned());
        }
        write_run(&world.record, &run, if is_counted { ", which crashes, counted" } else { ", which crashes" });
    }
    let (count, served) = sent.count();
    let summary = format!(
        "{count} other requests, {served} served; {} crashes by one request, of which {} copies were sent beside {same_kind} of its kind; \
         {counted} crashes by {} retries from machines in touch, more than {CONTACT_MS} ms after the third crash (allowed: {MAX_RETRIES} \
         retries)",
        crashes.len(),
        DEADLY_AT_S.len(),
        retries.len()
    );
    world.record.write(&summary);
    println!("{summary}");
    if crashes.len() < 3 || served < count / 2 {
        return Err("the deployment does not serve, or the request does not crash its workers".into());
    }
    Ok(retries.len() > MAX_RETRIES)
}
