//! An agent that runs on the instance of an engine and forwards the coordinator's queries and orders to it.
//!
//! A query from the engine's own instance costs its group nothing, while a query from another instance pauses every rank.

use std::{
    borrow::Cow,
    fmt::Display,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_global_executor::{GlobalExecutorConfig, Task};
use fuchsiabay_base::Timestamp;
use fuchsiabay_lockstep::{DemandCounter, DemandCounts};
use fuchsiabay_runtime::{metrics_export, monotonic_now, sleep_until, spawn};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use serde_json::{Value, json};
use smol::net::{TcpListener, TcpStream};

use crate::{
    CallResponse, HttpClient, StartError,
    body_budget::{BodyBudget, ORDER_LIMITS},
    client::CallBudget,
    compression::{ORDER_ENCODING, decompress},
    http::{BodyReader, BufferedSocket, RequestHead},
    signals::{SignalAction, SignalListener},
};

/// Timeout of a call to the engine, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 80;

/// Idle timeout of a connection, in milliseconds. The coordinator sends several queries a second.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of idle clients that are kept for the engine.
const MAX_IDLE_CLIENTS: usize = 2;

/// The path of an agent at which the coordinator reads the demand since its previous query, as a
/// [`DemandDelta`](fuchsiabay_lockstep::DemandDelta).
pub const DEMAND_PATH: &str = "/demand";

/// Request header with the address of the engine to call, if that is not the agent's own engine.
pub const TARGET_ENGINE_HEADER: &str = "Fuchsiabay-Engine";

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Id of this instance.
    pub instance: String,
    /// Address on which the coordinator connects.
    pub listen: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Prefix of the request paths that are forwarded to the engine.
    pub path_prefix: &'static str,
    /// The response header with which the engine states that it is leaving. It is relayed.
    pub leaving_header: &'static str,
    /// The engine's path for token counts.
    pub counts_path: &'static str,
    /// Decodes the engine's token counts.
    pub decode_counts: fn(&[u8]) -> Option<DemandCounts>,
}

struct Agent {
    settings: AgentSettings,
    idle_clients: Mutex<Vec<HttpClient>>,
    /// The memory of responses of engines.
    call_budget: CallBudget,
    /// The memory of orders.
    order_budget: BodyBudget,
    calls: AtomicU64,
    unanswered: AtomicU64,
    /// Whether the engine of this instance did not respond to the last call.
    engine_is_silent: AtomicBool,
    demand: Mutex<DemandCounter>,
}

/// Runs an agent until SIGTERM or SIGINT. Calls `reload` on every SIGHUP.
pub fn run_agent(settings: AgentSettings, reload: impl Fn()) -> Result<(), StartError> {
    async_global_executor::init_with_config(
        GlobalExecutorConfig::default().with_min_threads(1).with_max_threads(1),
    );
    metrics_export::install();
    async_global_executor::block_on(serve(settings, reload))
}

async fn serve(settings: AgentSettings, reload: impl Fn()) -> Result<(), StartError> {
    let mut signals = SignalListener::new().map_err(StartError::Signals)?;
    let _running = RunningAgent::start(settings).await?;
    spawn(metrics_export::run_upkeep()).detach();
    while signals.next().await == SignalAction::Reload {
        reload();
    }
    // No state needs to be handed over: without the agent, the coordinator calls the engine directly.
    log::info!("agent: stopped");
    Ok(())
}

/// An agent running in this process.
pub struct RunningAgent {
    listen: SocketAddr,
    _accept: Task<()>,
}

impl RunningAgent {
    /// Binds the address and starts serving.
    pub async fn start(settings: AgentSettings) -> Result<Self, StartError> {
        let failed = |error| StartError::Listen(settings.listen, error);
        let listener = TcpListener::bind(settings.listen).await.map_err(failed)?;
        let listen = listener.local_addr().map_err(failed)?;
        log::info!(
            instance = settings.instance.as_str(), listen:% = listen, engine:% = settings.engine,
            version = env!("CARGO_PKG_VERSION");
            "agent: started"
        );
        let agent = Arc::new(Agent {
            settings,
            idle_clients: Mutex::default(),
            call_budget: CallBudget::default(),
            order_budget: BodyBudget::new(ORDER_LIMITS),
            calls: AtomicU64::new(0),
            unanswered: AtomicU64::new(0),
            engine_is_silent: AtomicBool::new(false),
            demand: Mutex::default(),
        });
        Ok(Self { listen, _accept: spawn(accept_connections(agent, listener)) })
    }

    /// Returns the address on which the coordinator connects.
    pub fn listen_addr(&self) -> SocketAddr {
        self.listen
    }
}

async fn accept_connections(agent: Arc<Agent>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn(serve_connection(agent.clone(), stream)).detach(),
            Err(error) => {
                log::warn!("agent: accept failed: {error}");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(agent: Arc<Agent>, stream: TcpStream) {
    let mut socket = BufferedSocket::new(stream);
    loop {
        let idle_timeout = async {
            sleep_until(monotonic_now().plus_millis(IDLE_TIMEOUT_MS)).await;
            None
        };
        let Some((head, body)) = read_request(&mut socket, &agent.order_budget).or(idle_timeout).await else {
            return;
        };
        let response = agent.handle(&head, &body).await;
        let bytes = encode_response(response.as_ref(), agent.settings.leaving_header);
        if socket.write_all(&bytes).await.is_err() || !head.keeps_alive {
            return;
        }
    }
}

async fn read_request(socket: &mut BufferedSocket, budget: &BodyBudget) -> Option<(RequestHead, Vec<u8>)> {
    loop {
        if let Some((head, len)) = RequestHead::parse(socket.buffered()).ok()? {
            socket.consume(len);
            let body = BodyReader::new(head.framing).read_to_end(socket, &mut budget.lease()).await.ok()?;
            return Some((head, body));
        }
        if socket.buffered().len() > MAX_HEAD_BYTES || socket.fill().await.ok()? == 0 {
            return None;
        }
    }
}

impl Agent {
    /// Returns the state as JSON, for `/state`.
    fn state(&self) -> Value {
        json!({
            "instance": self.settings.instance,
            "engine": self.settings.engine,
            "calls": self.calls.load(Ordering::Relaxed),
            "unanswered": self.unanswered.load(Ordering::Relaxed),
            "kept_connections": self.idle_clients.lock().len(),
        })
    }

    /// Handles a request, forwarding it to an engine if its path has the prefix. Returns None if the engine did not respond,
    /// in which case the call may still have taken effect.
    async fn handle(&self, head: &RequestHead, body: &[u8]) -> Option<CallResponse> {
        if head.target == "/state" {
            return Some(CallResponse::new(200, self.state().to_string().into_bytes()));
        }
        if head.target == "/metrics" {
            return Some(CallResponse::new(200, metrics_export::render().into_bytes()));
        }
        if head.target == DEMAND_PATH {
            return self.demand().await;
        }
        if !head.target.starts_with(self.settings.path_prefix) {
            return Some(CallResponse::new(404, Vec::new()));
        }
        let engine = match head.headers.get(TARGET_ENGINE_HEADER).map(str::parse) {
            None => self.settings.engine,
            Some(Ok(engine)) => engine,
            Some(Err(_)) => return Some(CallResponse::new(400, Vec::new())),
        };
        let is_own_engine = engine == self.settings.engine;
        let Some(body) = decode_body(head, body) else {
            return Some(CallResponse::new(400, Vec::new()));
        };
        let content_type = head.headers.get("content-type").unwrap_or("application/json");
        let post = (head.method == "POST").then_some((content_type, body.as_ref()));
        self.call(engine, is_own_engine, &head.target, post).await
    }

    /// Reads the token counts of the own engine and returns what changed since the previous query.
    async fn demand(&self) -> Option<CallResponse> {
        let response = self.call(self.settings.engine, true, self.settings.counts_path, None).await?;
        let Some(counts) = (self.settings.decode_counts)(&response.body) else {
            log::info!(status = response.status; "agent: cannot decode the engine's token counts");
            return Some(CallResponse::new(502, Vec::new()));
        };
        let delta = self.demand.lock().advance(counts);
        Some(CallResponse::new(200, delta.encode()))
    }

    /// Calls an engine. `post` holds the content type and the body of a POST request, which is an order.
    ///
    /// An order is sent on a connection of its own: responses of engines state no id, so a late copy of an earlier one would be taken
    /// for the reply to the order.
    async fn call(
        &self,
        engine: SocketAddr,
        is_own_engine: bool,
        target: &str,
        post: Option<(&str, &[u8])>,
    ) -> Option<CallResponse> {
        let is_kept = is_own_engine && post.is_none();
        let idle_client = if is_kept { self.idle_clients.lock().pop() } else { None };
        let mut client = idle_client.unwrap_or_else(|| HttpClient::with_budget(engine, &self.call_budget));
        let started_at = monotonic_now();
        let deadline = started_at.plus_millis(CALL_TIMEOUT_MS);
        let result = match post {
            Some((content_type, body)) => client.post(target, content_type, body, deadline).await,
            None => client.get(target, deadline).await,
        };
        self.record_call(started_at, result.is_ok());
        if is_own_engine {
            self.log_outage(target, &result);
        }
        match result {
            Ok(response) => {
                let mut idle_clients = self.idle_clients.lock();
                if is_kept && idle_clients.len() < MAX_IDLE_CLIENTS {
                    idle_clients.push(client);
                }
                Some(response)
            }
            Err(error) => {
                log::debug!("agent: no response to {target}: {error}");
                None
            }
        }
    }

    /// Logs when the engine of this instance stops responding and when it responds again.
    fn log_outage<T, E: Display>(&self, target: &str, result: &Result<T, E>) {
        let was_silent = self.engine_is_silent.swap(result.is_err(), Ordering::Relaxed);
        match result {
            Ok(_) if was_silent => log::info!("agent: the engine responds again"),
            Err(error) if !was_silent => {
                log::info!(path = target, error:% = error; "agent: no response from the engine");
            }
            _ => {}
        }
    }

    fn record_call(&self, started_at: Timestamp, is_answered: bool) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if !is_answered {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
        }
        let outcome = if is_answered { "answered" } else { "unanswered" };
        metrics::counter!("fuchsiabay_agent_calls_total", "outcome" => outcome).increment(1);
        let ms = monotonic_now().millis_since(started_at);
        metrics::histogram!("fuchsiabay_agent_call_ms").record(ms as f64);
    }
}

/// Returns the body of a request, decompressed if it is compressed. None if it cannot be decoded.
fn decode_body<'a>(head: &RequestHead, body: &'a [u8]) -> Option<Cow<'a, [u8]>> {
    match head.headers.get("content-encoding") {
        None => Some(body.into()),
        Some(ORDER_ENCODING) => decompress(body, ORDER_LIMITS.one).map(Cow::from),
        Some(_) => None,
    }
}

/// Encodes a response of the engine, of whose header fields only `relayed_header` is kept.
fn encode_response(response: Option<&CallResponse>, relayed_header: &'static str) -> Vec<u8> {
    let (status, body) = response.map_or((504, &[][..]), |response| (response.status, &response.body));
    let mut out = format!(
        "HTTP/1.1 {status} Response\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    if let Some(value) = response.and_then(|response| response.header(relayed_header)) {
        out.push_str(&format!("{relayed_header}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
