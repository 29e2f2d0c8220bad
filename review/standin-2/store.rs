//! The platform's store: keyed topics with one partition, and consumer groups.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Request, encode_answer, read_request};

/// The number of partitions of a topic.
const PARTS: usize = 12;

/// The most items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<(String, Option<Vec<u8>>)>>,
    generation: u64,
    /// When each member expires.
    members: BTreeMap<String, Instant>,
    /// The generation that each member has joined with.
    joined: BTreeMap<String, u64>,
    owners: BTreeMap<usize, String>,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let store = Arc::new(Self { addr, state: Mutex::default(), changed: Condvar::new() });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record. Without a value, the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut state = self.state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.map(<[u8]>::to_vec)));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let (status, body) = self.answer(&request);
            writer.write_all(&encode_answer(status, "Content-Type: application/json\r\n", &body))?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/fuchsiabay/log-read") => (200, self.read(request)),
            ("GET", "/fuchsiabay/log-newest") => (200, self.newest(request)),
            ("GET", "/fuchsiabay/log-owners") => (200, self.owners()),
            ("POST", "/fuchsiabay/log-join") => (200, self.join(&String::from_utf8_lossy(&request.body))),
            ("POST", "/fuchsiabay/log-leave") => (200, self.leave(&String::from_utf8_lossy(&request.body))),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let from: usize = request.query("from").and_then(|from| from.parse().ok()).unwrap_or(0);
        let wait_ms = request.query("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let len = state.topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if len > from || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut out = (records.len() as u64).to_be_bytes().to_vec();
        out.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let value = value.as_deref().unwrap_or_default();
            out.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
            out.push(key.len() as u8);
            out.extend(key.as_bytes());
            out.extend(value);
        }
        out
    }

    fn newest(&self, request: &Request) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let records = state.topics.get(request.query("topic").unwrap_or_default());
        let records = records.map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, Option<&[u8]>)> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value.as_deref()));
        }
        let after = request.query("after").unwrap_or_default();
        let listed: Vec<_> = newest
            .into_iter()
            .filter(|(key, _)| *key > after)
            .filter_map(|(key, (offset, value))| Some((key, offset, value?)))
            .collect();
        let item = |(key, offset, value): &(&str, usize, &[u8])| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = listed.iter().take(PAGE_ITEMS).map(item).collect();
        let has_more = listed.len() > PAGE_ITEMS;
        let end = records.len();
        format!("{{\"items\":[{}],\"has_more\":{has_more},\"end\":{end}}}", items.join(",")).into_bytes()
    }

    fn join(&self, body: &str) -> Vec<u8> {
        let member = text_field(body, "member");
        let ttl_ms = number_field(body, "ttl_ms");
        let mut state = self.state.lock().unwrap();
        state.expire();
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        let is_new = state.members.insert(member.clone(), until).is_none();
        state.generation += u64::from(is_new);
        let joined = if is_new { state.generation } else { number_field(body, "generation") };
        state.joined.insert(member.clone(), joined);
        state.assign();
        let part = |(part, _): (&usize, &String)| format!("[\"fuchsiabay.duties\",{part},0]");
        let parts: Vec<String> = state.owners.iter().filter(|(_, owner)| **owner == member).map(part).collect();
        let generation = state.generation;
        format!("{{\"generation\":{generation},\"ttl_ms\":{ttl_ms},\"parts\":[{}]}}", parts.join(",")).into_bytes()
    }

    fn leave(&self, body: &str) -> Vec<u8> {
        let member = text_field(body, "member");
        let mut state = self.state.lock().unwrap();
        if state.members.remove(&member).is_some() {
            state.joined.remove(&member);
            state.generation += 1;
            state.assign();
        }
        b"{}".to_vec()
    }

    fn owners(&self) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let row = |(part, owner): (&usize, &String)| format!("[\"fuchsiabay.duties\",{part},\"{owner}\",0]");
        let rows: Vec<String> = state.owners.iter().map(row).collect();
        format!("[{}]", rows.join(",")).into_bytes()
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        self.joined.retain(|member, _| self.members.contains_key(member));
        self.generation += (before - self.members.len()) as u64;
    }

    /// A partition moves once its owner has joined with the generation in which it no longer owns it.
    fn assign(&mut self) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        for part in 0..PARTS {
            let Some(target) = names.get(part % names.len().max(1)) else {
                self.owners.remove(&part);
                continue;
            };
            let is_kept = self.owners.get(&part).is_some_and(|owner| {
                owner != target && self.joined.get(owner).is_some_and(|joined| *joined < self.generation)
            });
            if !is_kept {
                self.owners.insert(part, target.clone());
            }
        }
    }
}

/// Returns a field of the flat JSON that the entry processes send.
fn text_field(body: &str, name: &str) -> String {
    let rest = body.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn number_field(body: &str, name: &str) -> u64 {
    let rest = body.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let is_padding = i > chunk.len();
            let index = (bits >> (18 - 6 * i) & 63) as usize;
            out.push(if is_padding { '=' } else { char::from(ALPHABET[index]) });
        }
    }
    out
}
