//! An authenticated connection to a peer.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use fuchsiabay_base::{AttemptId, Timestamp};
use fuchsiabay_wire::{End, Frame, FrameDecoder, Hello, SharedKey, Tokens};
use futures_lite::FutureExt;
use jsonrpsee::{Methods, types::ErrorObjectOwned};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use smol::{
    channel::{Receiver, Sender},
    io::{AsyncReadExt, AsyncWriteExt},
    lock::Semaphore,
    net::TcpStream,
};

use super::{
    AttemptEvent, AttemptStream, CallError, ConnectError, Identity, PeerService, handshake,
    outgoing::{Outgoing, WriteState},
    sharded_map::ShardedMap,
};
use crate::{monotonic_now, sleep_until, spawn};

/// The capacity of the queue of outgoing frames. Senders wait while it is full, so that a slow peer only slows down its
/// own streams. The channel allocates all slots up front: 1024 slots take 76 KB per connection at each end.
const OUTGOING_QUEUE_FRAMES: usize = 256;

/// The buffer size at which no more queued frames are added to a write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// The size of the read buffer. An entry instance has one per agent, so a larger buffer would cost memory at 600
/// agents.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The capacity of an attempt's stream. A receiver that falls further behind loses the stream, because waiting for it
/// would block every other stream of the connection.
const STREAM_CAPACITY_FRAMES: usize = 4096;

/// The maximum number of concurrent calls from one peer.
const MAX_CONCURRENT_CALLS: usize = 4096;

/// The connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the connection is closed")]
pub struct ConnectionClosed;

/// A handle to an authenticated connection. Clones share the connection.
#[derive(Clone)]
pub struct Peer(Arc<Inner>);

struct Inner {
    hello: Hello,
    outgoing: Sender<Outgoing>,
    pending_calls: ShardedMap<Sender<String>>,
    attempts: ShardedMap<Sender<AttemptEvent>>,
    next_call_id: AtomicU64,
    closed_tx: Sender<()>,
    closed_rx: Receiver<()>,
    methods: OnceLock<Methods>,
}

#[derive(Serialize)]
struct CallRequest<'a, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'a str,
    params: [&'a P; 1],
}

#[derive(Deserialize)]
struct CallResponse<'a> {
    #[serde(borrow, default)]
    result: Option<&'a RawValue>,
    #[serde(default)]
    error: Option<ErrorObjectOwned>,
}

#[derive(Deserialize)]
struct ResponseId {
    id: u64,
}

impl Peer {
    /// Connects to the process at `addr` and performs the mutual authentication.
    pub async fn connect<S: PeerService>(
        addr: SocketAddr,
        own: &Identity,
        key: &SharedKey,
        service: Arc<S>,
        deadline: Timestamp,
    ) -> Result<Self, ConnectError> {
        let connect = async {
            let socket = TcpStream::connect(addr).await?;
            Self::establish(socket, own, key, service).await
        };
        let timeout = async {
            sleep_until(deadline).await;
            Err(ConnectError::DeadlinePassed)
        };
        connect.or(timeout).await
    }

    pub(crate) async fn establish<S: PeerService>(
        mut socket: TcpStream,
        own: &Identity,
        key: &SharedKey,
        service: Arc<S>,
    ) -> Result<Self, ConnectError> {
        socket.set_nodelay(true)?;
        let (hello, decoder) = handshake::run(&mut socket, own, key).await?;
        let (outgoing, outgoing_rx) = smol::channel::bounded(OUTGOING_QUEUE_FRAMES);
        let (closed_tx, closed_rx) = smol::channel::bounded(1);
        let peer = Self(Arc::new(Inner {
            hello,
            outgoing,
            pending_calls: ShardedMap::new(),
            attempts: ShardedMap::new(),
            next_call_id: AtomicU64::new(1),
            closed_tx,
            closed_rx,
            methods: OnceLock::new(),
        }));
        let methods = service.methods(&peer);
        let _ = peer.0.methods.set(methods);
        spawn(write_frames(socket.clone(), outgoing_rx, peer.clone())).detach();
        spawn(read_frames(socket, decoder, peer.clone())).detach();
        Ok(peer)
    }

    /// Returns the hello message of the remote side.
    pub fn hello(&self) -> &Hello {
        &self.0.hello
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.0.closed_tx.is_closed()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        let _ = self.0.closed_rx.recv().await;
    }

    /// Closes the connection. Pending calls and streams end immediately.
    pub fn close(&self) {
        self.0.closed_tx.close();
        self.0.outgoing.close();
        self.0.pending_calls.clear();
        self.0.attempts.clear();
    }

    /// Calls `method` with one positional parameter and waits for the result until `deadline`.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        method: &str,
        params: &P,
        deadline: Timestamp,
    ) -> Result<R, CallError> {
        let id = self.0.next_call_id.fetch_add(1, Ordering::Relaxed);
        let req = CallRequest { jsonrpc: "2.0", id, method, params: [params] };
        let text = serde_json::to_string(&req).map_err(CallError::Unserializable)?;
        if text.len() >= fuchsiabay_wire::MAX_FRAME_BYTES {
            return Err(CallError::TooLarge);
        }
        let (tx, rx) = smol::channel::bounded(1);
        self.0.pending_calls.insert(id, tx);
        let write_state = WriteState::default();
        let outcome = self.exchange(Frame::Request(text), &write_state, &rx, deadline).await;
        self.0.pending_calls.remove(id);
        let reply = outcome.map_err(|error| if write_state.cancel() { CallError::NotSent } else { error })?;
        decode_response(&reply)
    }

    async fn exchange(
        &self,
        frame: Frame,
        write_state: &WriteState,
        rx: &Receiver<String>,
        deadline: Timestamp,
    ) -> Result<String, CallError> {
        let exchange = async {
            let outgoing = Outgoing { frame, write_state: Some(write_state.clone()) };
            self.0.outgoing.send(outgoing).await.map_err(|_| CallError::NotSent)?;
            if self.is_closed() {
                return Err(CallError::ConnectionLost);
            }
            rx.recv().await.map_err(|_| CallError::ConnectionLost)
        };
        let timeout = async {
            sleep_until(deadline).await;
            Err(CallError::DeadlinePassed)
        };
        exchange.or(timeout).await
    }

    /// Registers an attempt to receive its frames. The caller must do so before it submits the attempt, because the
    /// first frame may arrive before the reply.
    pub fn open_attempt(&self, attempt: AttemptId) -> AttemptStream {
        let (tx, rx) = smol::channel::unbounded();
        self.0.attempts.insert(attempt.0, tx);
        if self.is_closed() {
            self.0.attempts.remove(attempt.0);
        }
        AttemptStream { attempt, rx, peer: self.clone() }
    }

    pub(crate) fn unregister(&self, attempt: AttemptId) {
        self.0.attempts.remove(attempt.0);
    }

    /// Sends tokens. Waits while the queue of outgoing frames is full.
    pub async fn send_tokens(&self, tokens: Tokens) -> Result<(), ConnectionClosed> {
        self.send(Frame::Tokens(tokens)).await
    }

    /// Sends the end of an attempt.
    pub async fn send_end(&self, end: End) -> Result<(), ConnectionClosed> {
        self.send(Frame::End(Box::new(end))).await
    }

    async fn send(&self, frame: Frame) -> Result<(), ConnectionClosed> {
        self.0.outgoing.send(Outgoing::non_cancellable(frame)).await.map_err(|_| ConnectionClosed)
    }

    fn deliver_event(&self, attempt: AttemptId, event: AttemptEvent) {
        let has_overflowed = self.0.attempts.with(attempt.0, |tx| {
            let Some(tx) = tx else {
                // The attempt was dropped before this frame arrived.
                metrics::counter!("fuchsiabay_late_frames_total").increment(1);
                return false;
            };
            tx.len() >= STREAM_CAPACITY_FRAMES || tx.try_send(event).is_err()
        });
        if has_overflowed {
            self.0.attempts.remove(attempt.0);
        }
    }

    fn complete_call(&self, text: String) {
        let Ok(ResponseId { id }) = serde_json::from_str(&text) else {
            log::warn!("peer: response without a numeric id from {}", self.0.hello.instance);
            return;
        };
        if let Some(tx) = self.0.pending_calls.remove(id) {
            let _ = tx.try_send(text);
        }
    }

    fn serve_call(&self, text: String, permits: &Arc<Semaphore>) -> impl Future<Output = ()> + use<> {
        let permit = permits.acquire_arc();
        let peer = self.clone();
        async move {
            let permit = permit.await;
            spawn(async move {
                let _permit = permit;
                let Some(methods) = peer.0.methods.get() else {
                    return;
                };
                match methods.raw_json_request(&text, 1).await {
                    Ok((reply, _)) => {
                        let _ = peer.send(Frame::Response(String::from(Box::<str>::from(reply)))).await;
                    }
                    Err(error) => {
                        log::warn!("peer: malformed request from {}: {error}", peer.0.hello.instance)
                    }
                }
            })
            .detach();
        }
    }
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peer").field("hello", &self.0.hello).field("closed", &self.is_closed()).finish()
    }
}

fn decode_response<R: DeserializeOwned>(text: &str) -> Result<R, CallError> {
    let response: CallResponse<'_> = serde_json::from_str(text).map_err(CallError::Malformed)?;
    if let Some(error) = response.error {
        return Err(CallError::Remote { code: error.code(), message: error.message().to_owned() });
    }
    let result = response.result.map_or("null", RawValue::get);
    serde_json::from_str(result).map_err(CallError::Malformed)
}

async fn write_frames(mut socket: TcpStream, rx: Receiver<Outgoing>, peer: Peer) {
    let mut buf = Vec::with_capacity(WRITE_BATCH_BYTES / 8);
    while let Ok(first) = rx.recv().await {
        let mut next = Some(first);
        while let Some(outgoing) = next {
            if outgoing.start_write()
                && let Err(error) = outgoing.frame.encode(&mut buf)
            {
                log::error!("peer: frame to {} dropped: {error}", peer.0.hello.instance);
            }
            next = if buf.len() < WRITE_BATCH_BYTES { rx.try_recv().ok() } else { None };
        }
        if socket.write_all(&buf).await.is_err() {
            break;
        }
        buf.clear();
    }
    let _ = socket.shutdown(std::net::Shutdown::Both);
    peer.close();
    // Discards the queued requests, so that they are never written.
    while rx.try_recv().is_ok() {}
}

async fn read_frames(mut socket: TcpStream, mut decoder: FrameDecoder, peer: Peer) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut buf = vec![0; READ_BUFFER_BYTES];
    'connection: loop {
        loop {
            match decoder.next_frame() {
                Ok(Some(Frame::Tokens(tokens))) => {
                    peer.deliver_event(tokens.attempt, AttemptEvent::Tokens(tokens))
                }
                Ok(Some(Frame::End(end))) => peer.deliver_event(end.attempt, AttemptEvent::End(end)),
                Ok(Some(Frame::Response(text))) => peer.complete_call(text),
                Ok(Some(Frame::Request(text))) => peer.serve_call(text, &permits).await,
                Ok(Some(Frame::Hello(_) | Frame::Auth(_))) => {
                    log::warn!("peer: {} repeated the handshake", peer.0.hello.instance);
                    break 'connection;
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("peer: closing the connection to {}: {error}", peer.0.hello.instance);
                    break 'connection;
                }
            }
        }
        let read = async { socket.read(&mut buf).await.unwrap_or(0) };
        let closed = async {
            peer.closed().await;
            // Leaves time to write the frames that are queued when the connection is closed.
            smol::Timer::after(Duration::from_millis(1)).await;
            0
        };
        match read.or(closed).await {
            0 => break,
            n => decoder.extend(&buf[..n]),
        }
    }
    let _ = socket.shutdown(std::net::Shutdown::Both);
    peer.close();
    metrics::counter!("fuchsiabay_peer_connections_closed_total").increment(1);
    log::debug!("peer: connection to {} closed at {}", peer.0.hello.instance, monotonic_now());
}
