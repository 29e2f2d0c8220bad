//! An agent with in-process fakes of its backend server, the log and the entry instance.

#![allow(dead_code)] // Each test file uses only a part of this module.

pub(crate) mod fakes;
pub(crate) mod group;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use fuchsiabay_agent::{Agent, AgentParams, ConfigView};
use fuchsiabay_base::{AttemptId, Fingerprint, Generation, IdempotencyKey, Timestamp, Verdict, WorkspaceId};
use fuchsiabay_claims::ClaimLimits;
use fuchsiabay_config::{Millis, Preset};
use fuchsiabay_runtime::{
    AttemptEvent, AttemptStream, Identity, Peer, PeerListener, PeerService, monotonic_now, spawn, unix_now,
};
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::{
    CancelReply, End, LoadReport, Priority, Role, SharedKey, SubmitReply, SubmitRequest, Work,
};
use jsonrpsee::Methods;

/// A configuration that never changes and is always fresh.
pub(crate) struct FixedConfig;

impl ConfigView for FixedConfig {
    fn is_fresh(&self, _now: Timestamp) -> bool {
        true
    }

    fn preset(&self) -> Option<Preset> {
        Some(Preset {
            queue_limit: 64,
            long_share_percent: 50,
            ageing_ms: Millis(1_000),
            long_work_tokens: 1_000,
            max_output_tokens: 10_000,
            retry_budget_percent: 10,
            spill_over_ms: Millis(100),
            quarantine_crashes: 2,
            quarantine_ms: Millis(60_000),
            default_deadline_ms: Millis(30_000),
            drain_ms: Millis(60_000),
        })
    }

    fn weight(&self, _workspace: &WorkspaceId) -> u32 {
        1
    }

    fn dump(&self, _now: Timestamp) -> serde_json::Value {
        serde_json::Value::Null
    }
}

/// An entry instance that serves no RPC methods.
struct NoMethods;

impl PeerService for NoMethods {
    fn methods(self: &Arc<Self>, _peer: &Peer) -> Methods {
        Methods::new()
    }
}

/// An agent and the connection of an entry instance to it.
pub(crate) struct Harness {
    pub(crate) agent: Arc<Agent<FixedConfig>>,
    pub(crate) peer: Peer,
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

fn identity(role: Role, instance: &str) -> Identity {
    Identity { role, instance: instance.into(), generation: Generation(1), zone: "a".into() }
}

impl Harness {
    /// Starts an agent with two slots in front of the backend server at `backend`.
    pub(crate) async fn start(name: &str, kind: BackendKind, backend: SocketAddr, log: SocketAddr) -> Self {
        let identity = identity(Role::Agent, name);
        let params = AgentParams {
            identity: identity.clone(),
            kind,
            service: "service".into(),
            backend_url: format!("http://{backend}"),
            slots: 2,
            log_url: format!("http://{log}"),
            // Nothing listens on this port: the agent must work without the instance list.
            list_url: "http://127.0.0.1:1".to_owned(),
            claims: ClaimLimits { window_ms: 600_000, skew_ms: 5_000, margin_ms: 60_000 },
            group: None,
        };
        let agent = Agent::new(params, Arc::new(FixedConfig));
        let listener = PeerListener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        agent.start();
        spawn(listener.serve(identity, SharedKey::new("key"), Arc::clone(&agent))).detach();
        let harness = Self { agent, peer: connect(addr).await };
        harness.wait_for_load(|load| !load.draining).await;
        harness
    }

    /// Submits an attempt, and returns the reply and the stream of its frames.
    pub(crate) async fn submit(&self, req: &SubmitRequest) -> (SubmitReply, AttemptStream) {
        let stream = self.peer.open_attempt(req.attempt);
        (self.call("submit", req).await, stream)
    }

    /// Submits an attempt that must be admitted, and returns its text and its `End` frame.
    pub(crate) async fn run(&self, req: &SubmitRequest) -> (Vec<u8>, End) {
        let (reply, stream) = self.submit(req).await;
        assert!(matches!(reply, SubmitReply::Admitted { .. }), "{reply:?}");
        read_to_end(&stream).await
    }

    pub(crate) async fn cancel(&self, attempt: AttemptId) -> Verdict {
        self.call::<_, CancelReply>("cancel", &attempt).await.verdict
    }

    /// Waits until the agent's load report satisfies `wanted`.
    pub(crate) async fn wait_for_load(&self, wanted: impl Fn(&LoadReport) -> bool) {
        loop {
            let report: LoadReport = self.peer.call("load", &(), deadline()).await.unwrap();
            if wanted(&report) {
                return;
            }
            poll_delay().await;
        }
    }

    async fn call<P: serde::Serialize, R: serde::de::DeserializeOwned>(&self, method: &str, params: &P) -> R {
        self.peer.call(method, params, deadline()).await.unwrap()
    }
}

async fn connect(addr: SocketAddr) -> Peer {
    let own = identity(Role::Entry, "entry");
    Peer::connect(addr, &own, &SharedKey::new("key"), Arc::new(NoMethods), deadline()).await.unwrap()
}

/// Returns a deadline that is reached only if something hangs.
fn deadline() -> Timestamp {
    monotonic_now().plus_millis(60_000)
}

/// Waits between two polls of a condition.
pub(crate) async fn poll_delay() {
    smol::Timer::after(Duration::from_millis(5)).await;
}

/// Waits until `condition` holds.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        poll_delay().await;
    }
}

/// Reads an attempt to its end, checks that the token positions are contiguous, and returns the text and the `End`
/// frame.
pub(crate) async fn read_to_end(stream: &AttemptStream) -> (Vec<u8>, End) {
    let (mut text, mut next) = (Vec::new(), None);
    loop {
        match stream.next().await.expect("the connection stays open") {
            AttemptEvent::Tokens(tokens) => {
                assert_eq!(
                    tokens.first,
                    next.unwrap_or(tokens.first),
                    "the token positions are not contiguous"
                );
                next = Some(tokens.first + u32::from(tokens.count));
                text.extend_from_slice(&tokens.text);
            }
            AttemptEvent::End(end) => return (text, *end),
        }
    }
}

fn request(work: Work) -> SubmitRequest {
    SubmitRequest {
        attempt: AttemptId(NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed)),
        workspace: "workspace".into(),
        service: "service".into(),
        idempotent: true,
        key: None,
        fingerprint: Fingerprint::of(&[b"request"]),
        priority: Priority::Normal,
        estimated_tokens: 10,
        deadline_in_ms: 60_000,
        solo: false,
        config_version: 1,
        work,
    }
}

/// Returns a request for a token stream. The prompt selects the behaviour of the fake engine.
pub(crate) fn generate(prompt: &str) -> SubmitRequest {
    let prompt = prompt.to_owned();
    request(Work::Generate { prompt, max_tokens: 100, resume_from: 0, resume_text: String::new() })
}

/// Returns a lot-status call, which is idempotent.
pub(crate) fn lot_status() -> SubmitRequest {
    let (method, path) = ("GET".to_owned(), "/lots/7".to_owned());
    request(Work::Plain { method, path, content_type: String::new(), body: Vec::new() })
}

/// Returns a lot-release call, which must run at most once. `random` makes its key unique.
pub(crate) fn lot_release(random: u128) -> SubmitRequest {
    let work = Work::Plain {
        method: "POST".to_owned(),
        path: "/lots/7/release".to_owned(),
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
    };
    let key = Some(IdempotencyKey::from_parts(unix_now(), random));
    SubmitRequest { idempotent: false, key, ..request(work) }
}

/// Returns the same call as a new attempt.
pub(crate) fn retry_of(req: &SubmitRequest) -> SubmitRequest {
    SubmitRequest { attempt: AttemptId(NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed)), ..req.clone() }
}
