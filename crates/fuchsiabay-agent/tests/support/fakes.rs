//! Fakes of an engine, a plain service and the log, as HTTP servers on ports assigned by the operating system.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use fuchsiabay_runtime::unix_now;
use futures_lite::{AsyncRead, Stream};
use parking_lot::Mutex;
use serde_json::{Value, json};
use smol::channel::{Receiver, Sender};
use trillium::{Body, Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

pub(crate) async fn serve(handler: impl Handler) -> SocketAddr {
    let handle = trillium_smol::config().with_host("127.0.0.1").with_port(0).without_signals().spawn(handler);
    *handle.info().await.tcp_socket_addr().unwrap()
}

/// Returns a handler that responds with the JSON or the status that `f` returns.
pub(crate) fn route<S: Send + Sync + 'static>(
    state: &Arc<S>,
    f: impl Fn(&S, &Conn, Value) -> Result<Value, Status> + Clone + Send + Sync + 'static,
) -> impl Handler {
    let state = Arc::clone(state);
    move |mut conn: Conn| {
        let (state, f) = (Arc::clone(&state), f.clone());
        async move {
            let text = conn.request_body_string().await.unwrap_or_default();
            match f(&state, &conn, serde_json::from_str(&text).unwrap_or_default()) {
                Ok(value) => conn.ok(value.to_string()),
                Err(status) => conn.with_status(status).halt(),
            }
        }
    }
}

/// A response body that yields the bytes sent to a channel. It ends when the senders are dropped.
struct ChannelBody {
    rx: Pin<Box<Receiver<Vec<u8>>>>,
    buf: Vec<u8>,
}

impl AsyncRead for ChannelBody {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.buf.is_empty() {
            match ready!(self.rx.as_mut().poll_next(cx)) {
                Some(bytes) => self.buf = bytes,
                None => return Poll::Ready(Ok(0)),
            }
        }
        let n = self.buf.len().min(buf.len());
        buf[..n].copy_from_slice(&self.buf[..n]);
        self.buf.drain(..n);
        Poll::Ready(Ok(n))
    }
}

/// An engine whose behaviour is selected by the prompt: `whole` sends a complete stream of three tokens, `truncate`
/// ends within the third token, `gap` skips a position, and `hold` sends one token and holds the stream open until it
/// is completed or cancelled.
#[derive(Default)]
pub(crate) struct FakeEngine {
    held: Mutex<HashMap<String, Sender<Vec<u8>>>>,
    prompts: Mutex<Vec<String>>,
    cancelled: Mutex<Vec<String>>,
    unhealthy: Mutex<bool>,
    targets: Mutex<BTreeMap<String, Value>>,
}

impl FakeEngine {
    pub(crate) async fn start() -> (Arc<Self>, SocketAddr) {
        let engine = Arc::new(Self::default());
        let generating = Arc::clone(&engine);
        let router = Router::new()
            .post("/v1/generate", move |mut conn: Conn| {
                let engine = Arc::clone(&generating);
                async move {
                    let text = conn.request_body_string().await.unwrap_or_default();
                    let body = engine.generate(&serde_json::from_str(&text).unwrap());
                    conn.ok(Body::new_streaming(body, None))
                }
            })
            .post("/cancel/:id", route(&engine, |engine, conn, _| engine.cancel(conn.param("id").unwrap())))
            .post("/orders", route(&engine, |engine, _, order| engine.order(order)))
            .get("/orders", route(&engine, |engine, _, _| Ok(json!({ "targets": *engine.targets.lock() }))))
            .get("/health", route(&engine, |engine, _, _| engine.health()));
        (engine, serve(router).await)
    }

    fn generate(&self, req: &Value) -> ChannelBody {
        let (tx, rx) = smol::channel::unbounded();
        let send = |text: &str| tx.try_send(text.as_bytes().to_vec()).unwrap();
        let prompt = req["prompt"].as_str().unwrap();
        self.prompts.lock().push(prompt.to_owned());
        if req["resume_from"] == 0 {
            send("data: {\"pos\":0,\"text\":\"a\"}\n\n");
        } else {
            assert_eq!((&req["resume_from"], &req["resume_text"]), (&json!(1), &json!("a")));
        }
        match prompt {
            "whole" => send(
                "data: {\"pos\":1,\"text\":\"\\u00e9\"}\n\ndata: {\"pos\":2,\"text\":\"c\"}\n\ndata: {\"done\":true,\"total\":3}\n\n",
            ),
            "truncate" => send("data: {\"pos\":1,\"text\":\"b\"}\n\ndata: {\"pos\":2,\"te"),
            "gap" => send("data: {\"pos\":2,\"text\":\"c\"}\n\n"),
            _ => _ = self.held.lock().insert(req["id"].as_str().unwrap().to_owned(), tx.clone()),
        }
        ChannelBody { rx: Box::pin(rx), buf: Vec::new() }
    }

    fn cancel(&self, id: &str) -> Result<Value, Status> {
        self.held.lock().remove(id);
        self.cancelled.lock().push(id.to_owned());
        Ok(Value::Null)
    }

    fn order(&self, order: Value) -> Result<Value, Status> {
        self.targets.lock().insert(order["kind"].as_str().unwrap().to_owned(), order);
        Ok(Value::Null)
    }

    fn health(&self) -> Result<Value, Status> {
        if *self.unhealthy.lock() { Err(Status::InternalServerError) } else { Ok(Value::Null) }
    }

    /// Completes every stream that is held open.
    pub(crate) fn complete_held_streams(&self) {
        for (_, tx) in self.held.lock().drain() {
            let rest = b"data: {\"pos\":1,\"text\":\"z\"}\n\ndata: {\"done\":true,\"total\":2}\n\n";
            let _ = tx.try_send(rest.to_vec());
        }
    }

    /// Makes the health probes fail, as after a crash of the engine.
    pub(crate) fn fail_health_probes(&self) {
        *self.unhealthy.lock() = true;
    }

    /// Returns the number of streams that are held open.
    pub(crate) fn held(&self) -> usize {
        self.held.lock().len()
    }

    /// Returns the prompts of the streams that were started.
    pub(crate) fn prompts(&self) -> Vec<String> {
        self.prompts.lock().clone()
    }

    /// Returns the number of cancel calls.
    pub(crate) fn cancelled(&self) -> usize {
        self.cancelled.lock().len()
    }

    /// Returns the last order of a kind.
    pub(crate) fn last_order(&self, kind: &str) -> Option<Value> {
        self.targets.lock().get(kind).cloned()
    }
}

/// A plain service that counts how often each idempotency key ran.
#[derive(Default)]
pub(crate) struct FakeService {
    effects: Mutex<BTreeMap<String, u32>>,
}

impl FakeService {
    pub(crate) async fn start() -> (Arc<Self>, SocketAddr) {
        let service = Arc::new(Self::default());
        let router = Router::new()
            .get("/health", route(&service, |_, _, _| Ok(Value::Null)))
            .get("/lots/*", route(&service, |_, _, _| Ok(json!("dry"))))
            .post("/lots/*", route(&service, |service, conn, _| service.release(conn)));
        (service, serve(router).await)
    }

    fn release(&self, conn: &Conn) -> Result<Value, Status> {
        let key = conn.request_headers().get_str("idempotency-key").unwrap_or_default();
        let mut effects = self.effects.lock();
        let count = effects.entry(key.to_owned()).or_default();
        *count += 1;
        Ok(json!({ "run": *count }))
    }

    /// Returns how often each key ran.
    pub(crate) fn effects(&self) -> Vec<u32> {
        self.effects.lock().values().copied().collect()
    }
}

/// A fake log. It can be made unavailable, or made to drop the responses to appends that took effect.
#[derive(Default)]
pub(crate) struct FakeLog {
    streams: Arc<Mutex<BTreeMap<String, Vec<Value>>>>,
    down: Mutex<bool>,
    drops_append_responses: Mutex<bool>,
}

impl FakeLog {
    pub(crate) async fn start() -> (Arc<Self>, SocketAddr) {
        Self::default().serve().await
    }

    /// Serves the same streams at a second address, which has its own faults.
    pub(crate) async fn second_address(&self) -> (Arc<Self>, SocketAddr) {
        Self { streams: Arc::clone(&self.streams), ..Self::default() }.serve().await
    }

    async fn serve(self) -> (Arc<Self>, SocketAddr) {
        let log = Arc::new(self);
        let router = Router::new()
            .post("/streams/:name/records", route(&log, Self::append))
            .get("/streams/:name/records", route(&log, Self::read));
        (log, serve(router).await)
    }

    fn append(&self, conn: &Conn, body: Value) -> Result<Value, Status> {
        if *self.down.lock() {
            return Err(Status::ServiceUnavailable);
        }
        let mut streams = self.streams.lock();
        let stream = streams.entry(conn.param("name").unwrap().to_owned()).or_default();
        let mut offsets = Vec::new();
        for data in body["records"].as_array().unwrap() {
            offsets.push(stream.len());
            stream.push(json!({ "offset": stream.len(), "at_ms": unix_now().as_millis(), "data": data }));
        }
        if *self.drops_append_responses.lock() {
            return Err(Status::InternalServerError);
        }
        Ok(json!({ "offsets": offsets }))
    }

    fn read(&self, conn: &Conn, _body: Value) -> Result<Value, Status> {
        if *self.down.lock() {
            return Err(Status::ServiceUnavailable);
        }
        let from = conn.querystring().trim_start_matches("from=").split('&').next().unwrap();
        let streams = self.streams.lock();
        let stream = streams.get(conn.param("name").unwrap()).map_or(&[][..], Vec::as_slice);
        let records = stream.get(from.parse().unwrap()..).unwrap_or_default();
        Ok(json!({ "first": 0, "next": stream.len(), "records": records }))
    }

    pub(crate) fn set_down(&self, down: bool) {
        *self.down.lock() = down;
    }

    pub(crate) fn set_drops_append_responses(&self, drops: bool) {
        *self.drops_append_responses.lock() = drops;
    }

    /// Returns the data of the records of a stream.
    pub(crate) fn records(&self, name: &str) -> Vec<Value> {
        let streams = self.streams.lock();
        streams.get(name).into_iter().flatten().map(|record| record["data"].clone()).collect()
    }

    /// Appends a record, as an operator would.
    pub(crate) fn append_record(&self, name: &str, data: Value) {
        let mut streams = self.streams.lock();
        let stream = streams.entry(name.to_owned()).or_default();
        stream.push(json!({ "offset": stream.len(), "at_ms": unix_now().as_millis(), "data": data }));
    }
}
