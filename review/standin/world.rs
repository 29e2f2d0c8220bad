//! The world around the project's programs, for the cases of this review: the platform's store, a group of model workers, plain
//! workers and clients. It uses the standard library only and loopback addresses only. What it speaks is what PROTOCOL.md says.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), file: Mutex::new(File::create(path).expect("record")) })
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn log(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        self.file.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(text, &mut at)
    }
    pub fn get(&self, key: &str) -> Option<&Json> {
        if let Json::Obj(map) = self { map.get(key) } else { None }
    }
    pub fn num(&self, key: &str) -> Option<u64> {
        if let Some(Json::Num(n)) = self.get(key) { Some(*n as u64) } else { None }
    }
    pub fn str(&self, key: &str) -> Option<&str> {
        if let Some(Json::Str(s)) = self.get(key) { Some(s) } else { None }
    }
    pub fn arr(&self) -> &[Json] {
        if let Json::Arr(items) = self { items } else { &[] }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(text, at);
                if text.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Obj(map));
                }
                let Json::Str(key) = value(text, at)? else { return None };
                skip(text, at);
                *at += 1;
                map.insert(key, value(text, at)?);
                skip(text, at);
                if text.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                if text.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::Arr(items));
                }
                items.push(value(text, at)?);
                skip(text, at);
                if text.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(out).ok().map(Json::Str);
                    }
                    b'\\' => {
                        out.push(*text.get(*at + 1)?);
                        *at += 2;
                    }
                    b => {
                        out.push(b);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[from..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let is_pad = i > chunk.len();
            out.push(if is_pad { '=' } else { SET[(n >> (18 - 6 * i)) as usize & 63] as char });
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
}

/// Reads the head: the first line and the fields.
fn read_head(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, Vec<(String, String)>)> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let fields = lines.filter_map(|l| l.split_once(':'));
            return Some((first, fields.map(|(n, v)| (n.to_owned(), v.trim().to_owned())).collect()));
        }
        if fill(socket, buf)? == 0 {
            return None;
        }
    }
}

fn fill(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Option<usize> {
    let mut chunk = [0; 65536];
    let n = socket.read(&mut chunk).ok()?;
    buf.extend_from_slice(&chunk[..n]);
    Some(n)
}

pub fn read_request(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let (first, headers) = read_head(socket, buf)?;
    let len: usize = header(&headers, "content-length").parse().unwrap_or(0);
    while buf.len() < len {
        if fill(socket, buf)? == 0 {
            return None;
        }
    }
    let body = buf.drain(..len).collect();
    Some(Request { path: first.split(' ').nth(1)?.to_owned(), headers, body })
}

pub fn respond(socket: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> bool {
    let mut out = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    socket.write_all(&out).is_ok()
}

/// Serves connections with one thread each.
pub fn serve(addr: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).unwrap_or_else(|e| panic!("bind {addr}: {e}"));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

// ---------------------------------------------------------------- the platform's store

const PARTS: usize = 12;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct Membership {
    generation: u64,
    /// When the membership of each member ends.
    members: BTreeMap<String, Instant>,
    owner: Vec<Option<String>>,
    target: Vec<Option<String>>,
}

impl Membership {
    /// Keeps what a member has as far as the shares stay even, so that few partitions move.
    fn rebalance(&mut self) {
        let before: Vec<Option<String>> = self.target.clone();
        self.generation += 1;
        self.owner.resize(PARTS, None);
        self.target = vec![None; PARTS];
        let n = self.members.len().max(1);
        let most = PARTS.div_ceil(n);
        let mut count: HashMap<String, usize> = HashMap::new();
        let mut open = Vec::new();
        for part in 0..PARTS {
            let kept = before.get(part).cloned().flatten().filter(|m| self.members.contains_key(m));
            match kept {
                Some(m) if *count.get(&m).unwrap_or(&0) < most => {
                    *count.entry(m.clone()).or_default() += 1;
                    self.target[part] = Some(m);
                }
                _ => open.push(part),
            }
        }
        for part in open {
            let least = self.members.keys().min_by_key(|m| *count.get(*m).unwrap_or(&0)).cloned();
            if let Some(m) = &least {
                *count.entry(m.clone()).or_default() += 1;
            }
            self.target[part] = least;
        }
        self.hand_over();
    }
    /// Partitions without a living owner go to their new owner at once.
    fn hand_over(&mut self) {
        for part in 0..PARTS {
            let lives = self.owner[part].as_ref().is_some_and(|m| self.members.contains_key(m));
            if !lives {
                self.owner[part] = self.target[part].clone();
            }
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() != before {
            self.rebalance();
        }
    }
    fn join(&mut self, member: &str, ttl_ms: u64, generation: u64) -> String {
        self.expire();
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        if self.members.insert(member.to_owned(), until).is_none() {
            self.rebalance();
        }
        if generation >= self.generation {
            for part in 0..PARTS {
                if self.owner[part].as_deref() == Some(member) {
                    self.owner[part] = self.target[part].clone();
                }
            }
        }
        let mine = (0..PARTS).filter(|p| {
            self.owner[*p].as_deref() == Some(member) && self.target[*p].as_deref() == Some(member)
        });
        let rows: Vec<String> = mine.map(|p| format!("[\"fuchsiabay.duties\",{p},0]")).collect();
        format!("{{\"generation\":{},\"ttl_ms\":{ttl_ms},\"parts\":[{}]}}", self.generation, rows.join(","))
    }
}

/// The store. Every entry reaches it at an address of its own.
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    group: Mutex<Membership>,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            topics: Mutex::default(),
            group: Mutex::default(),
        })
    }
    pub fn put(&self, topic: &str, key: &str, value: Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().records.push((key.to_owned(), value));
    }
    /// Who holds partition 0.
    pub fn holder(&self) -> Option<String> {
        let mut group = self.group.lock().unwrap();
        group.expire();
        group.owner.first().cloned().flatten()
    }
    pub fn open_door(self: &Arc<Self>, addr: SocketAddr) {
        let store = self.clone();
        serve(addr, move |mut socket| {
            let mut buf = Vec::new();
            while let Some(request) = read_request(&mut socket, &mut buf) {
                if !store.answer(&mut socket, &request) {
                    return;
                }
            }
        });
    }
    fn answer(&self, socket: &mut TcpStream, request: &Request) -> bool {
        sleep_ms(2);
        let path = request.path.split('?').next().unwrap_or("");
        let json = Json::parse(&request.body).unwrap_or(Json::Null);
        match path {
            "/fuchsiabay/log-join" => {
                let member = json.str("member").unwrap_or("").to_owned();
                let mut group = self.group.lock().unwrap();
                let body = group.join(&member, json.num("ttl_ms").unwrap_or(1000), json.num("generation").unwrap_or(0));
                drop(group);
                respond(socket, 200, "Content-Type: application/json\r\n", body.as_bytes())
            }
            "/fuchsiabay/log-leave" => {
                let mut group = self.group.lock().unwrap();
                if group.members.remove(json.str("member").unwrap_or("")).is_some() {
                    group.rebalance();
                }
                respond(socket, 200, "Content-Type: application/json\r\n", b"{}")
            }
            "/fuchsiabay/log-owners" => {
                let mut group = self.group.lock().unwrap();
                group.expire();
                let rows = (0..PARTS).filter_map(|p| {
                    Some(format!("[\"fuchsiabay.duties\",{p},\"{}\",0]", group.owner.get(p)?.as_ref()?))
                });
                let body = format!("{{\"items\":[{}]}}", rows.collect::<Vec<_>>().join(","));
                respond(socket, 200, "Content-Type: application/json\r\n", body.as_bytes())
            }
            "/fuchsiabay/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let empty = Topic::default();
                let topic = topics.get(request.query("topic").unwrap_or("")).unwrap_or(&empty);
                let mut newest: BTreeMap<&str, (usize, &Vec<u8>)> = BTreeMap::new();
                for (i, (key, value)) in topic.records.iter().enumerate() {
                    newest.insert(key, (i, value));
                }
                let items = newest.iter().filter(|(_, (_, value))| !value.is_empty()).map(|(key, (i, value))| {
                    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{i}}}", base64(value))
                });
                let items: Vec<String> = items.collect();
                let body =
                    format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), topic.records.len());
                respond(socket, 200, "Content-Type: application/json\r\n", body.as_bytes())
            }
            "/fuchsiabay/log-read" => {
                let name = request.query("topic").unwrap_or("").to_owned();
                let from: usize = request.query("from").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let topics = self.topics.lock().unwrap();
                    let records = topics.get(&name).map_or(&[][..], |t| &t.records[from.min(t.records.len())..]);
                    if !records.is_empty() || Instant::now() >= until {
                        let end = topics.get(&name).map_or(0, |t| t.records.len()) as u64;
                        let mut body = end.to_be_bytes().to_vec();
                        body.extend_from_slice(&0_u64.to_be_bytes());
                        for (key, value) in records {
                            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                            body.push(key.len() as u8);
                            body.extend_from_slice(key.as_bytes());
                            body.extend_from_slice(value);
                        }
                        drop(topics);
                        return respond(socket, 200, "", &body);
                    }
                    drop(topics);
                    sleep_ms(5);
                }
            }
            _ => respond(socket, 404, "", b"{}"),
        }
    }
}

// ---------------------------------------------------------------- a group of model workers

/// What a worker does with an order that arrives.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Prompt,
    /// It gets no answer and is carried out so many ms later.
    Late(u64),
}

#[derive(Clone)]
struct Rank {
    map: (u64, Vec<Vec<Vec<u16>>>),
    prepared: Option<(u64, Vec<Vec<Vec<u16>>>, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    max_version: u64,
    seq: u64,
    counts: Vec<u64>,
    active: usize,
}

pub struct GroupSpec {
    pub ranks: usize,
    pub sets: usize,
    pub experts: usize,
    pub spare: usize,
    pub copy_ms: u64,
    pub pass_ms: u64,
    /// The events of each answer.
    pub events: usize,
    pub lag_ms: u64,
}

struct GroupState {
    step: u64,
    ranks: Vec<Rank>,
    /// The hot experts of the requests, which change over time.
    hot: usize,
    snapshots: Vec<(Instant, Vec<String>)>,
}

/// Decides the fate of an order: rank, op and the number of copies of it that have arrived.
pub type OrderHook = dyn Fn(usize, &str, u64) -> Fate + Send + Sync;

pub struct Group {
    pub record: Arc<Record>,
    pub spec: GroupSpec,
    born: u64,
    state: Mutex<GroupState>,
    hook: Mutex<Arc<OrderHook>>,
    copies: Mutex<HashMap<(usize, String), u64>>,
    pub orders: AtomicU64,
    pub late_orders: AtomicU64,
    /// Passes that began with different maps.
    pub mixed_passes: AtomicU64,
    pub runs: AtomicU64,
    /// The events of each answer, if not those of the spec.
    pub events: AtomicU64,
}

impl Group {
    pub fn new(record: &Arc<Record>, spec: GroupSpec) -> Arc<Self> {
        // Map 0 assigns experts in turn.
        let set: Vec<Vec<u16>> = (0..spec.ranks)
            .map(|r| (0..spec.experts as u16).filter(|e| *e as usize % spec.ranks == r).collect())
            .collect();
        let map = vec![set; spec.sets];
        let rank = Rank {
            map: (0, map),
            prepared: None,
            armed: None,
            held: None,
            max_version: 0,
            seq: 0,
            counts: vec![0; spec.sets * spec.experts],
            active: 0,
        };
        let ranks = vec![rank; spec.ranks];
        let group = Arc::new(Self {
            record: record.clone(),
            spec,
            born: unix_ms(),
            state: Mutex::new(GroupState { step: 0, ranks, hot: 0, snapshots: Vec::new() }),
            hook: Mutex::new(Arc::new(|_, _, _| Fate::Prompt)),
            copies: Mutex::default(),
            orders: AtomicU64::new(0),
            late_orders: AtomicU64::new(0),
            mixed_passes: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            events: AtomicU64::new(0),
        });
        group.events.store(group.spec.events as u64, Ordering::Relaxed);
        let passes = group.clone();
        thread::spawn(move || passes.run_passes());
        let snapshots = group.clone();
        thread::spawn(move || snapshots.take_snapshots());
        group
    }
    pub fn set_hook(&self, hook: Arc<OrderHook>) {
        *self.hook.lock().unwrap() = hook;
    }
    pub fn set_hot(&self, hot: usize) {
        self.state.lock().unwrap().hot = hot;
    }
    pub fn describe(&self) -> String {
        let state = self.state.lock().unwrap();
        let ranks = state.ranks.iter().map(|r| {
            format!(
                "[map {} prepared {:?} armed {:?} held {:?} active {}]",
                r.map.0,
                r.prepared.as_ref().map(|p| p.0),
                r.armed,
                r.held,
                r.active
            )
        });
        format!("step {} {}", state.step, ranks.collect::<Vec<_>>().join(" "))
    }

    /// All ranks execute each pass together. An idle group makes no passes.
    fn run_passes(&self) {
        let mut was_blocked = false;
        loop {
            let mut state = self.state.lock().unwrap();
            let next = state.step + 1;
            if state.ranks.iter().all(|r| r.active == 0) {
                drop(state);
                sleep_ms(3);
                continue;
            }
            if state.ranks.iter().any(|r| r.held == Some(next)) {
                if !was_blocked {
                    self.record.log(&format!("group: pass {next} does not begin, it is held"));
                }
                was_blocked = true;
                drop(state);
                sleep_ms(3);
                continue;
            }
            was_blocked = false;
            for rank in &mut state.ranks {
                if let Some((version, step)) = rank.armed
                    && step == next
                {
                    rank.armed = None;
                    if let Some((prepared, map, _)) = rank.prepared.take() {
                        assert_eq!(prepared, version);
                        rank.map = (version, map);
                    }
                }
            }
            let maps: Vec<u64> = state.ranks.iter().map(|r| r.map.0).collect();
            if state.ranks.iter().any(|r| r.map != state.ranks[0].map) {
                if self.mixed_passes.fetch_add(1, Ordering::Relaxed) < 5 {
                    self.record.log(&format!("group: pass {next} BEGINS WITH DIFFERENT MAPS, by rank: {maps:?}"));
                }
            } else if state.step % 50 == 0 {
                self.record.log(&format!("group: pass {next} begins, maps by rank: {maps:?}"));
            }
            state.step = next;
            drop(state);
            sleep_ms(self.spec.pass_ms);
        }
    }

    fn take_snapshots(&self) {
        loop {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            let reports: Vec<String> = (0..self.spec.ranks).map(|r| self.report_of(&state, r)).collect();
            state.snapshots.push((now, reports));
            let lag = Duration::from_millis(self.spec.lag_ms);
            while state.snapshots.len() > 2 && now - state.snapshots[1].0 >= lag {
                state.snapshots.remove(0);
            }
            drop(state);
            sleep_ms(10);
        }
    }

    fn report_of(&self, state: &GroupState, r: usize) -> String {
        let rank = &state.ranks[r];
        let now = Instant::now();
        let prepared = rank.prepared.as_ref().filter(|p| p.2 <= now).map_or("null".into(), |p| p.0.to_string());
        let armed = rank.armed.map_or("null".into(), |(v, s)| format!("{{\"version\":{v},\"step\":{s}}}"));
        let held = rank.held.map_or("null".into(), |s| s.to_string());
        format!(
            "{{\"born\":{},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":{},\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":372000,\"handles\":0,\"pace\":1.0,\"group\":{{\"name\":\"g0\",\"epoch\":1,\"rank\":{r},\"state\":\"open\"}},\"size\":{},\"step\":{},\"map\":{},\"prepared\":{prepared},\"armed\":{armed},\"held\":{held}}}",
            self.born, rank.seq, rank.active, self.spec.ranks, state.step, rank.map.0
        )
    }

    pub fn beat(&self, service: &str, addr: SocketAddr, seq: u64) -> String {
        format!(
            "{{\"born\":{},\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq}}}",
            self.born
        )
    }

    /// Serves rank `r` at `addr`, with `id` as the worker's id.
    pub fn serve_rank(self: &Arc<Self>, r: usize, id: &str, addr: SocketAddr) {
        let (group, id) = (self.clone(), id.to_owned());
        serve(addr, move |mut socket| {
            let mut buf = Vec::new();
            while let Some(request) = read_request(&mut socket, &mut buf) {
                if !group.answer(r, &id, &mut socket, &request) {
                    return;
                }
            }
        });
    }

    fn answer(self: &Arc<Self>, r: usize, id: &str, socket: &mut TcpStream, request: &Request) -> bool {
        let json_field = "Content-Type: application/json\r\n";
        match request.path.split('?').next().unwrap_or("") {
            "/fuchsiabay/report" => {
                let state = self.state.lock().unwrap();
                let body = state.snapshots.first().map_or_else(|| self.report_of(&state, r), |s| s.1[r].clone());
                drop(state);
                respond(socket, 200, json_field, body.as_bytes())
            }
            "/fuchsiabay/picked" => {
                let state = self.state.lock().unwrap();
                let rank = &state.ranks[r];
                let body = if request.path.contains("lists") {
                    let sets: Vec<String> = rank.map.1.iter().map(|set| format!("{:?}", set[r])).collect();
                    format!(
                        "{{\"born\":{},\"epoch\":1,\"map\":{{\"version\":{},\"experts\":[{}]}},\"prepared\":null}}",
                        self.born, rank.map.0, sets.join(",")
                    )
                } else {
                    format!("{{\"born\":{},\"step\":{},\"epoch\":1,\"counts\":{:?}}}", self.born, state.step, rank.counts)
                };
                drop(state);
                respond(socket, 200, json_field, body.as_bytes())
            }
            "/fuchsiabay/order" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let json = Json::parse(&request.body).unwrap_or(Json::Null);
                let op = json.str("op").unwrap_or("").to_owned();
                let short = format!("rank {r} {op} version {:?} step {:?}", json.num("version"), json.num("step"));
                let mut copies = self.copies.lock().unwrap();
                let key = (r, format!("{op}{:?}{:?}", json.num("version"), json.num("step")));
                let copy = copies.entry(key).or_default();
                *copy += 1;
                let copy = *copy;
                drop(copies);
                self.orders.fetch_add(1, Ordering::Relaxed);
                let hook = self.hook.lock().unwrap().clone();
                match hook(r, &op, copy) {
                    Fate::Prompt => {
                        let status = self.order(r, &json);
                        self.record.log(&format!("order: {short} -> {status}"));
                        respond(socket, status, json_field, b"{}")
                    }
                    Fate::Late(ms) => {
                        self.late_orders.fetch_add(1, Ordering::Relaxed);
                        self.record.log(&format!("order: {short} -> no answer, to be carried out {ms} ms later"));
                        let group = self.clone();
                        thread::spawn(move || {
                            sleep_ms(ms);
                            let status = group.order(r, &Json::parse(text.as_bytes()).unwrap_or(Json::Null));
                            group.record.log(&format!("order: {short}, late by {ms} ms -> {status} (not sent)"));
                        });
                        // The connection stays open without an answer until its peer closes it.
                        let mut rest = [0; 64];
                        while socket.read(&mut rest).is_ok_and(|n| n > 0) {}
                        false
                    }
                }
            }
            _ => self.run(r, id, socket, request),
        }
    }

    /// Carries out an order, as PROTOCOL.md says. Returns the status.
    fn order(&self, r: usize, json: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        let begun = state.step;
        let spec = &self.spec;
        let rank = &mut state.ranks[r];
        if json.num("epoch").is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        let (version, step) = (json.num("version").unwrap_or(0), json.num("step").unwrap_or(0));
        let now = Instant::now();
        let status = match json.str("op").unwrap_or("") {
            "prepare" => {
                if rank.prepared.as_ref().is_some_and(|p| p.0 == version) {
                    return 200;
                }
                if version <= rank.max_version || rank.armed.is_some() {
                    return 409;
                }
                let number = |e: &Json| if let Json::Num(n) = e { *n as u16 } else { 0 };
                let sets = json.get("map").map(Json::arr).unwrap_or(&[]);
                let map: Vec<Vec<Vec<u16>>> = sets
                    .iter()
                    .map(|set| set.arr().iter().map(|rank| rank.arr().iter().map(number).collect()).collect())
                    .collect();
                let mut copies = 0;
                for (set, lists) in map.iter().enumerate() {
                    let new = lists[r].iter().filter(|e| !rank.map.1[set][r].contains(e)).count();
                    if new > spec.spare {
                        return 409;
                    }
                    copies += new;
                }
                rank.max_version = version;
                let ready = now + Duration::from_millis(copies as u64 * spec.copy_ms);
                rank.prepared = Some((version, map, ready));
                202
            }
            "arm" => {
                if rank.armed == Some((version, step)) {
                    return 200;
                }
                let is_prepared = rank.prepared.as_ref().is_some_and(|p| p.0 == version && p.2 <= now);
                if !is_prepared || step <= begun || rank.armed.is_some() {
                    return 409;
                }
                rank.armed = Some((version, step));
                202
            }
            "disarm" => {
                if rank.map.0 == version {
                    return 409;
                }
                if rank.armed.is_none_or(|(v, _)| v != version) {
                    return 200;
                }
                rank.armed = None;
                202
            }
            "hold" => {
                if step <= begun {
                    return 409;
                }
                match rank.held {
                    Some(held) if held == step => return 200,
                    Some(_) => return 409,
                    None => {}
                }
                rank.held = Some(step);
                202
            }
            "go" => {
                if rank.held != Some(step) {
                    return 200;
                }
                rank.held = None;
                202
            }
            _ => return 400,
        };
        rank.seq += 1;
        status
    }

    /// Runs a request: the group reads the prompt in its first pass, then each pass makes one event.
    fn run(&self, r: usize, id: &str, socket: &mut TcpStream, request: &Request) -> bool {
        let request_id = request.header("request-id").to_owned();
        let echo = format!("Request-Id: {request_id}\r\nInstance-Id: {id}\r\n");
        if request.header("expect-instance") != id {
            return respond(socket, 421, &echo, b"");
        }
        let give_up = Instant::now() + Duration::from_millis(request.header("deadline-ms").parse().unwrap_or(8000));
        let mut seen = {
            let mut state = self.state.lock().unwrap();
            state.ranks[r].active += 1;
            state.step
        };
        let _ = socket.set_nonblocking(true);
        let mut sent = 0;
        let first: u64 = request.header("last-event-id").parse::<u64>().map_or(0, |n| n + 1);
        let mut ok = true;
        let events = self.events.load(Ordering::Relaxed);
        while ok && first + sent < events {
            sleep_ms(3);
            let mut byte = [0; 1];
            let gone = matches!(socket.peek(&mut byte), Ok(0)) || socket.peek(&mut byte).is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock);
            if gone || Instant::now() > give_up {
                ok = false;
                break;
            }
            let mut state = self.state.lock().unwrap();
            if state.step == seen {
                continue;
            }
            seen = state.step;
            if sent == 0 {
                self.runs.fetch_add(1, Ordering::Relaxed);
                self.record.log(&format!("worker: {id} begins to run {request_id}"));
                // Most tokens choose the hot expert.
                let (hot, experts) = (state.hot, self.spec.experts);
                for set in 0..self.spec.sets {
                    for e in 0..experts {
                        let is_hot = e == hot % experts;
                        state.ranks[r].counts[set * experts + e] += if is_hot { 12_000 } else { 200 };
                    }
                }
            }
            drop(state);
            let event = format!("id: {}\ndata: token\n\n", first + sent);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let _ = socket.set_nonblocking(false);
            if sent == 0 {
                let head = format!("HTTP/1.1 200 OK\r\n{echo}Server-Stamp: s.{request_id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                ok &= socket.write_all(head.as_bytes()).is_ok();
            }
            ok &= socket.write_all(chunk.as_bytes()).is_ok();
            let _ = socket.set_nonblocking(true);
            sent += 1;
        }
        let _ = socket.set_nonblocking(false);
        self.record.log(&format!("worker: {id} ends {request_id} after {sent} events, whole: {ok}"));
        self.state.lock().unwrap().ranks[r].active -= 1;
        if ok {
            ok = socket.write_all(b"0\r\n\r\n").is_ok();
        }
        ok
    }
}

// ---------------------------------------------------------------- the project's processes

pub struct Process {
    name: String,
    role: String,
    settings: String,
    child: Mutex<Option<Child>>,
    log: String,
    record: Arc<Record>,
}

impl Process {
    /// A process of the project, with the command of the deploy file.
    pub fn new(record: &Arc<Record>, dir: &str, name: &str, role: &str, settings: &str) -> Arc<Self> {
        let path = format!("{dir}/{name}.jsonc");
        std::fs::write(&path, settings).unwrap();
        Arc::new(Self {
            name: name.to_owned(),
            role: role.to_owned(),
            settings: path,
            child: Mutex::default(),
            log: format!("{dir}/{name}.log"),
            record: record.clone(),
        })
    }
    pub fn start(&self) {
        let out = File::options().create(true).append(true).open(&self.log).unwrap();
        let err = out.try_clone().unwrap();
        let child = Command::new("target/release/fuchsiabay-gateway")
            .arg(&self.role)
            .env("FUCHSIABAY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("start the project's program");
        self.record.log(&format!("process: {} started", self.name));
        let pids = File::options().create(true).append(true).open(format!("{}.pids", self.log));
        let _ = pids.and_then(|mut f| writeln!(f, "{}", child.id()));
        *self.child.lock().unwrap() = Some(child);
    }
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.log(&format!("process: {} killed (SIGKILL)", self.name));
        }
    }
    pub fn signal(&self, signal: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
            self.record.log(&format!("process: {} gets SIG{signal}", self.name));
        }
    }
    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.child.lock().unwrap().as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An entry: its addresses and its process.
pub struct Entry {
    pub ingress: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub process: Arc<Process>,
}

/// An address of this run, so that runs at the same time don't meet.
pub fn run_ip(net: u8, host: usize) -> String {
    format!("127.{}.{net}.{host}", 20 + std::process::id() % 200)
}

pub fn addr(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().unwrap()
}

/// Returns free ports, the same for all addresses of this run.
pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind(addr(ip, 0)).unwrap().local_addr().unwrap().port()
}

pub fn entries(record: &Arc<Record>, store: &Arc<Store>, dir: &str, count: usize, agent_port: u16) -> Vec<Entry> {
    let ips: Vec<String> = (1..=count).map(|i| run_ip(10, i)).collect();
    let ports: Vec<[u16; 5]> = ips
        .iter()
        .map(|ip| [free_port(ip), free_port(ip), free_port(ip), free_port(ip), free_port(&run_ip(11, 1))])
        .collect();
    let seeds: Vec<String> = (0..count.min(3)).map(|i| format!("\"{}:{}\"", ips[i], ports[i][3])).collect();
    let mut entries = Vec::new();
    for i in 0..count {
        let [ingress, ready, metrics, peer, door] = ports[i];
        let (ip, store_ip) = (&ips[i], run_ip(11, 1));
        store.open_door(addr(&store_ip, door));
        // The template of the deploy file, filled in.
        let settings = format!(
            "{{\n\"instance\": \"edge-{i}\", \"zone\": \"z-a\", \"listen\": \"{ip}:{ingress}\", \"ops_listen\": \"{ip}:{ready}\",\n\"metrics_listen\": \"{ip}:{metrics}\", \"store\": \"{store_ip}:{door}\", \"peer_listen\": \"{ip}:{peer}\", \"seeds\": [{}],\n\"shared_key\": \"fuchsiabay-entry-instances\", \"agent_port\": {agent_port}, \"retry_ratio\": 0.2, \"retry_slack\": 92,\n\"retry_window_s\": 10, \"stop_timeout_s\": 8, \"max_descriptors\": 4100, \"processors\": 1\n}}\n",
            seeds.join(",")
        );
        let process = Process::new(record, dir, &format!("edge-{i}"), "entry", &settings);
        entries.push(Entry { ingress: addr(ip, ingress), ready: addr(ip, ready), peer: addr(ip, peer), process });
    }
    entries
}

pub fn is_ready(entry: &Entry) -> bool {
    let Ok(mut socket) = TcpStream::connect_timeout(&entry.ready, Duration::from_millis(300)) else { return false };
    let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
    let _ = socket.write_all(b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
    let mut buf = Vec::new();
    read_head(&mut socket, &mut buf).is_some_and(|(first, _)| first.contains(" 200"))
}

pub fn wait_ready(entries: &[Entry], ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if entries.iter().all(is_ready) {
            return true;
        }
        sleep_ms(100);
    }
    false
}

// ---------------------------------------------------------------- clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Reply {
    pub id: String,
    /// 0 if there was no response.
    pub status: u16,
    pub is_complete: bool,
    pub body: Vec<u8>,
    pub stamp: String,
    pub keeps: bool,
}

pub struct Client {
    socket: Option<TcpStream>,
    addr: SocketAddr,
    record: Arc<Record>,
}

impl Client {
    pub fn new(addr: SocketAddr, record: &Arc<Record>) -> Self {
        Self { socket: None, addr, record: record.clone() }
    }
    /// Sends a request and reads its whole response. The connection is kept.
    pub fn send(&mut self, method: &str, path: &str, fields: &str, body: &[u8], deadline_ms: u64) -> Reply {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) * 0x9e37_79b9 + 7);
        let mut reply =
            Reply { id: id.clone(), status: 0, is_complete: false, body: Vec::new(), stamp: String::new(), keeps: false };
        if self.socket.is_none() {
            self.socket = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1)).ok();
        }
        let Some(mut socket) = self.socket.take() else { return reply };
        let _ = socket.set_nodelay(true);
        let until = Instant::now() + Duration::from_millis(deadline_ms);
        let _ = socket.set_read_timeout(Some(Duration::from_millis(deadline_ms)));
        let _ = socket.set_write_timeout(Some(Duration::from_millis(deadline_ms)));
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.record.log(&format!("client: {id} sent {method} {path} to {}", self.addr));
        if socket.write_all(head.as_bytes()).is_err() || socket.write_all(body).is_err() {
            return reply;
        }
        let mut buf = Vec::new();
        let Some((first, headers)) = read_head(&mut socket, &mut buf) else { return reply };
        reply.status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        reply.stamp = header(&headers, "server-stamp").to_owned();
        reply.keeps = !header(&headers, "connection").eq_ignore_ascii_case("close");
        if header(&headers, "request-id") != id && reply.status == 200 {
            reply.stamp = String::new();
        }
        let is_chunked = header(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked");
        let len: usize = header(&headers, "content-length").parse().unwrap_or(0);
        loop {
            if is_chunked {
                if let Some((body, used)) = decode_chunks(&buf) {
                    reply.body = body;
                    buf.drain(..used);
                    reply.is_complete = true;
                    break;
                }
            } else if buf.len() >= len {
                reply.body = buf.drain(..len).collect();
                reply.is_complete = true;
                break;
            }
            if Instant::now() >= until || fill(&mut socket, &mut buf).unwrap_or(0) == 0 {
                let _ = socket.shutdown(Shutdown::Both);
                return reply;
            }
        }
        if reply.keeps {
            self.socket = Some(socket);
        }
        reply
    }
}

fn decode_chunks(buf: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut at, mut out) = (0, Vec::new());
    loop {
        let end = at + buf[at..].windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&buf[at..end]).ok()?.trim(), 16).ok()?;
        let data = end + 2;
        if buf.len() < data + size + 2 {
            return None;
        }
        if size == 0 {
            return Some((out, data + 2));
        }
        out.extend_from_slice(&buf[data..data + size]);
        at = data + size + 2;
    }
}

/// Whether the disruption is left out.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}
