//! A test harness: an entry instance with two fake agents for each service.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use fuchsiabay_base::{Generation, Timestamp};
use fuchsiabay_config::VersionedConfig;
use fuchsiabay_routing::QuarantineRecord;
use fuchsiabay_runtime::{Identity, Instance, InstanceState};
use fuchsiabay_settings::HttpLimits;
use fuchsiabay_wire::{ConfigPullReply, ConfigPullRequest, Role, SharedKey};
use serde_json::{Value, json};
use smol::{
    channel::Receiver,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::fake_agent::{Action, FakeAgent, Script};
use crate::{config_source::ConfigSource, entry::Entry, http_server, membership::Membership};

const AGENTS: [(&str, &str); 4] =
    [("m1", "assistant"), ("m2", "assistant"), ("p1", "booking"), ("p2", "booking")];

/// The timeout of a load poll, in milliseconds. It keeps the tests short, because the connection to a stalled agent is
/// closed only after three polls without a reply.
const LOAD_POLL_TIMEOUT_MS: u64 = 500;

/// A configuration that is fresh until a test clears `fresh`.
pub(super) struct FixedConfig {
    in_force: Arc<VersionedConfig>,
    pub(super) fresh: AtomicBool,
}

impl ConfigSource for FixedConfig {
    fn in_force(&self) -> Option<Arc<VersionedConfig>> {
        Some(Arc::clone(&self.in_force))
    }

    fn is_fresh(&self, _now: Timestamp) -> bool {
        self.fresh.load(Ordering::SeqCst)
    }

    fn reply(&self, _req: &ConfigPullRequest, _now: Timestamp) -> ConfigPullReply {
        ConfigPullReply::default()
    }

    fn dump(&self, _now: Timestamp) -> Value {
        Value::Null
    }
}

fn config() -> FixedConfig {
    let preset = json!({
        "queue_limit": 10, "long_share_percent": 50, "ageing_ms": 1000, "long_work_tokens": 1000,
        "max_output_tokens": 100, "retry_budget_percent": 50, "spill_over_ms": 50, "quarantine_crashes": 2,
        "quarantine_ms": 60000, "default_deadline_ms": 30000, "drain_ms": 60000,
    });
    let route = |method: &str, path: &str, idempotent: bool| {
        json!({
            "method": method, "path": path, "service": "booking", "idempotent": idempotent,
            "default_deadline_ms": 30000,
        })
    };
    let in_force = json!({
        "version": 3,
        "preset_name": "ordinary",
        "document": {
            "services": {"assistant": {"kind": "model"}, "booking": {"kind": "plain"}},
            "routes": [route("POST", "/lots/release", false), route("GET", "/lots/*", true)],
            "workspaces": {"gate": {}, "limited": {"tokens_per_second": 1}},
            "presets": {"ordinary": preset},
            "initial_preset": "ordinary",
        },
    });
    let in_force = serde_json::from_value(in_force).expect("the configuration is valid");
    FixedConfig { in_force: Arc::new(in_force), fresh: AtomicBool::new(true) }
}

pub(super) struct Harness {
    pub(super) entry: Arc<Entry<FixedConfig>>,
    pub(super) membership: Arc<Membership<FixedConfig>>,
    /// The instance list that the membership applied at the start.
    pub(super) instances: Vec<Instance>,
    pub(super) script: Arc<Script>,
    pub(super) records: Receiver<QuarantineRecord>,
    pub(super) addr: SocketAddr,
}

impl Harness {
    /// Starts an entry instance with agents that handle the submissions with `actions`, in the order of arrival.
    pub(super) async fn start(actions: &[Action]) -> Self {
        Self::with_head_timeout(actions, HttpLimits::default().head_timeout_ms).await
    }

    /// Starts an entry instance with the given timeout for request heads.
    pub(super) async fn with_head_timeout(actions: &[Action], head_timeout_ms: u64) -> Self {
        let script = Arc::new(Script::default());
        script.actions.lock().extend(actions);
        let key = SharedKey::new("a key for tests only");
        let mut instances = Vec::new();
        for (name, service) in AGENTS {
            instances.push(Instance {
                id: name.into(),
                role: Role::Agent,
                zone: "a".into(),
                service: Some(service.into()),
                peer: FakeAgent::start(name, key.clone(), Arc::clone(&script)).await,
                // The list lags behind, so its generation is older than the one that the agents send in the handshake.
                generation: Generation(1),
                state: InstanceState::Live,
            });
        }
        let identity = Identity {
            role: Role::Entry,
            instance: "e1".into(),
            generation: Generation(1),
            zone: "a".into(),
        };
        let limits =
            HttpLimits { max_body_bytes: 2048, max_headers: 20, head_timeout_ms, ..HttpLimits::default() };
        let (entry, records) = Entry::new(identity, key, limits, config(), 1);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        http_server::serve(Arc::clone(&entry), listener);
        let membership = Membership::with_load_poll_timeout(Arc::clone(&entry), LOAD_POLL_TIMEOUT_MS);
        membership.apply(&instances);
        let harness = Self { entry, membership, instances, script, records, addr };
        harness.wait_until(|harness| harness.server_count() == AGENTS.len()).await;
        harness
    }

    /// Waits until the condition holds. If it never does, the test hangs instead of passing.
    pub(super) async fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        while !holds(self) {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    }

    fn server_count(&self) -> usize {
        self.entry.router.all().iter().map(|(_, servers)| servers.len()).sum()
    }

    /// Sends a request and leaves the connection open.
    pub(super) async fn send(&self, request_line: &str, headers: &str, body: &str) -> TcpStream {
        let mut socket = TcpStream::connect(self.addr).await.unwrap();
        let text = format!(
            "{request_line} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        socket.write_all(text.as_bytes()).await.unwrap();
        socket
    }

    /// Sends a request and reads the response until the connection closes.
    pub(super) async fn request(&self, request_line: &str, headers: &str, body: &str) -> Response {
        read_response(&mut self.send(request_line, headers, body).await).await
    }

    /// Requests a chat completion.
    pub(super) async fn chat(&self, stream: bool) -> Response {
        self.request("POST /v1/chat/completions", "Fuchsiabay-Workspace: gate\r\n", &chat_body(stream)).await
    }
}

pub(super) fn chat_body(stream: bool) -> String {
    json!({
        "model": "assistant", "messages": [{"role": "user", "content": "Write a slip."}], "stream": stream,
        "stream_options": {"include_usage": true},
    })
    .to_string()
}

/// A response as it arrived on the wire.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    head: String,
    pub(super) body: String,
}

pub(super) async fn read_response(socket: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    // An aborted connection may end with an error; the bytes before it still count.
    while let Ok(n @ 1..) = socket.read(&mut buf).await {
        bytes.extend_from_slice(&buf[..n]);
    }
    let text = String::from_utf8(bytes).expect("the response is UTF-8");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Response { status, head: head.to_ascii_lowercase(), body: body.to_owned() }
}

impl Response {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Returns the text of a completion, whether or not it was streamed.
    pub(super) fn text(&self) -> String {
        if let Ok(whole) = serde_json::from_str::<Value>(&self.body) {
            return whole["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned();
        }
        let chunks = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks = chunks.filter_map(|json| serde_json::from_str::<Value>(json).ok());
        chunks.filter_map(|c| Some(c["choices"][0]["delta"]["content"].as_str()?.to_owned())).collect()
    }

    /// Returns whether a client would take a streamed response for complete.
    pub(super) fn is_complete(&self) -> bool {
        self.body.contains("data: [DONE]\n\n") && self.body.ends_with("0\r\n\r\n")
    }
}
