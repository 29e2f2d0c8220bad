//! A gateway in front of fake backend servers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fuchsiabay_balancer::{
    CallerLimits, ColdTolerance, EngineProfile, RetryLimits, Route, RouteKind, ServerRecord, ServerState,
    ServingConfig, Target, Workspace,
};
use fuchsiabay_base::{InstanceId, ServiceName, WorkspaceId, ZoneName};
use fuchsiabay_gateway::{GatewaySettings, HeaderNames, HttpClient, LiveSettings, RunningGateway};
use fuchsiabay_runtime::monotonic_now;
use fuchsiabay_wire::SharedKey;
use smol::Timer;

use super::{Behaviour, Caller, FakeServer, caller::get_request, platform::FakePlatform, server::Script};

/// Header names that no deployment uses, so that a test fails if the library hard-codes a name.
pub static HEADER_NAMES: HeaderNames = HeaderNames {
    request_id: "X-Call",
    deadline_ms: "X-Left",
    stamp: "X-Stamp",
    workspace: "X-Workspace",
    expected_server: "X-Server",
    not_run: "X-Not-Run",
    load: "X-Load",
    limit: "X-Limit",
    leaving: "X-Leaving",
    at_fault: "X-Fault",
    model: "X-Model",
    token_count: "X-Tokens",
    prompt_parts: "X-Parts",
    length_hint: "X-Hint",
    priority: "X-Priority",
};

/// The time that the caller of [`Harness::get_status`] waits for the response, in milliseconds.
const GET_LEFT_MS: u64 = 900;

/// The live settings that the gateway starts with.
pub const LIVE: LiveSettings = LiveSettings {
    retries: RetryLimits { ratio: 0.2, slack: 90, window_ms: 10_000 },
    stop_timeout_ms: 8_000,
    max_connections: 100,
};

/// A running gateway with its fake platform and servers.
pub struct Harness {
    pub gateway: RunningGateway,
    pub platform: FakePlatform,
    pub servers: Vec<FakeServer>,
}

pub fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "h.example".to_owned(),
        path_prefix: prefix.to_owned(),
        targets: vec![Target { service: ServiceName::new("s"), weight: 1 }],
        kind,
        timeout_ms: 1_000,
        goal_ms: 200,
        gap_goal_ms: kind.is_stream().then_some(100),
        patience_ms: kind.is_stream().then_some(2_000),
        attempts: if kind == RouteKind::Unsafe { 1 } else { 2 },
        priority: 1,
        public: false,
    }
}

pub fn config(version: u64) -> ServingConfig {
    ServingConfig {
        version,
        routes: vec![
            route("/safe/", RouteKind::Safe),
            route("/unsafe/", RouteKind::Unsafe),
            route("/stream/", RouteKind::Stream { resumable: true }),
            route("/once/", RouteKind::Stream { resumable: false }),
        ],
        services: [(ServiceName::new("s"), None)].into(),
        cold_starts: [].into(),
        limits: CallerLimits {
            max_head_bytes: 2_048,
            max_body_bytes: 100_000,
            head_timeout_ms: 300,
            idle_timeout_ms: 600,
        },
        workspaces: Some(vec![Workspace {
            name: WorkspaceId::new("w"),
            api_keys: vec!["k".to_owned()],
            priority: None,
        }]),
    }
}

/// Returns a configuration whose servers are engines with `sets` sets of one expert.
pub fn engine_config(version: u64, sets: u16) -> ServingConfig {
    let engine = EngineProfile {
        slots: 4,
        kv_capacity: 1_000,
        stride: 1,
        step_ms: 1.0,
        per_request_ms: 0.0,
        context_ms_per_k: 0.0,
        prefill_per_s: 0.0,
        mean_prompt_tokens: 1.0,
        mean_response_tokens: 1.0,
        sets,
        experts: 1,
        max_experts_per_rank: 1,
        max_added_per_rank: 1,
        copy_ms: 1.0,
    };
    ServingConfig { services: [(ServiceName::new("s"), Some(engine))].into(), ..config(version) }
}

pub fn record(id: usize, server: &FakeServer) -> ServerRecord {
    ServerRecord {
        id: InstanceId::new(format!("i-{id}")),
        service: ServiceName::new("s"),
        address: server.addr,
        zone: ZoneName::new("z"),
        slots: 4,
        state: ServerState::Ready,
        started_at_ms: 1,
        seq: 1,
        cold_left_ms: 0,
    }
}

impl Harness {
    /// Starts a gateway in front of `count` servers that share `script`, and waits until it is ready.
    pub async fn start(count: usize, script: &[Behaviour]) -> Self {
        Self::start_on(FakePlatform::default(), config(1), count, script).await
    }

    /// Starts a gateway as [`Self::start`] does, on `platform` with `config`.
    pub async fn start_on(
        platform: FakePlatform,
        config: ServingConfig,
        count: usize,
        script: &[Behaviour],
    ) -> Self {
        let script: Script = Arc::new(Mutex::new(script.iter().cloned().collect()));
        let mut servers = Vec::new();
        for _ in 0..count {
            servers.push(FakeServer::start(script.clone()).await);
        }
        *platform.config.lock().unwrap() = Some(config);
        let records = servers.iter().enumerate().map(|(i, server)| record(i, server)).collect();
        *platform.servers.lock().unwrap() = records;
        let harness = Self::start_with(platform, servers, &[]).await;
        harness.wait_until_ready().await;
        harness
    }

    /// Starts `instances` gateways that know each other, in front of one server for each script.
    pub async fn start_instances(instances: usize, scripts: &[&[Behaviour]]) -> Vec<Self> {
        let platform = FakePlatform::default();
        *platform.config.lock().unwrap() = Some(config(1));
        let mut servers = Vec::new();
        for script in scripts {
            let script: Script = Arc::new(Mutex::new(script.iter().cloned().collect()));
            servers.push(FakeServer::start(script).await);
        }
        let records = servers.iter().enumerate().map(|(i, server)| record(i, server)).collect();
        *platform.servers.lock().unwrap() = records;
        let mut harnesses = Vec::new();
        for _ in 0..instances {
            let platform = FakePlatform { reads: Arc::default(), ..platform.clone() };
            harnesses.push(Self::start_with(platform, servers.clone(), &[]).await);
        }
        *platform.members.lock().unwrap() =
            harnesses.iter().map(|harness| harness.gateway.peer_addr()).collect();
        for harness in &harnesses {
            harness.wait_until_ready().await;
        }
        if instances > 1 {
            // The members are renewed twice a second.
            Timer::after(Duration::from_millis(1_200)).await;
        }
        harnesses
    }

    /// Starts a gateway on `platform` without waiting until it is ready. `seeds` are the addresses of other entry instances.
    pub async fn start_with(platform: FakePlatform, servers: Vec<FakeServer>, seeds: &[SocketAddr]) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let settings = GatewaySettings {
            instance: InstanceId::new("test"),
            zone: ZoneName::new("z"),
            listen: any,
            ops_listen: any,
            metrics_listen: any,
            peer_listen: any,
            seeds: seeds.to_vec(),
            shared_key: SharedKey::new("a key for tests only"),
            header_names: &HEADER_NAMES,
            cold_tolerance: Some(ColdTolerance { overage: 1.5, slack: 5.0 }),
            live: LIVE,
            threads: 1,
        };
        let gateway = RunningGateway::start(settings, &platform).await.expect("a free port");
        Self { gateway, platform, servers }
    }

    pub async fn wait_until_ready(&self) {
        for _ in 0..500 {
            if self.readiness().await == 200 {
                return;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        panic!("the gateway did not become ready");
    }

    pub async fn readiness(&self) -> u16 {
        let mut client = HttpClient::new(self.gateway.ops_addr());
        let response = client.get("/readyz", monotonic_now().plus_millis(2_000)).await;
        response.map_or(0, |response| response.status)
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.gateway.listen_addr()).await
    }

    /// Sends a GET request for `path` with the given id. Returns the status of the response, 0 if there is none.
    pub async fn get_status(&self, path: &str, id: &str) -> u16 {
        let req = get_request(path, id, GET_LEFT_MS);
        let response = self.caller().await.round_trip(req.as_bytes()).await;
        response.map_or(0, |response| response.status)
    }

    pub fn received(&self) -> usize {
        self.servers.iter().map(|server| server.received().len()).sum()
    }
}
