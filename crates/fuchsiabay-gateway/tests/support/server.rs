//! A fake backend server that can misbehave.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{caller::find, early_response::EarlyResponse};

/// How the server handles a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds with this body.
    Respond(&'static str),
    /// Responds after a delay in milliseconds.
    Slow(u64),
    /// Responds with this status and the stamp.
    Status(u16),
    /// Reports that it is full.
    Full,
    /// Responds with 421, as a server does that is not the expected one.
    Misdirected,
    /// Closes the connection without a response.
    Reset,
    /// Sends bytes that are not an HTTP response.
    InvalidResponse,
    /// States a larger `Content-Length` than it sends.
    Truncated,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Sends two responses.
    TwoResponses,
    /// Sends a body that ends when the connection is closed.
    NoFraming,
    /// Responds without the stamp.
    NoStamp,
    /// Responds with the largest numbers that its load and its `Keep-Alive` timeout can state.
    LargestNumbers,
    /// Responds, and sends a second copy of the response on the same connection this many milliseconds later.
    LateCopy(u64),
    /// Responds with this status, the stamp and no request id.
    StatusWithoutId(u16),
    /// Reports that it is full, without a request id.
    FullWithoutId,
    /// Sends these bytes again and again until the peer closes the connection.
    Endless { head: &'static str, repeated: &'static str },
    /// Sends one event, and then one byte of the next event every `pause_ms` without ever completing it.
    Trickle { pause_ms: u64 },
    /// Streams `events` events, or those after the request's `Last-Event-Id`. Closes the connection after `close_after` of
    /// them, if given.
    Stream { events: u64, close_after: Option<u64>, pause_ms: u64 },
    /// Responds and states how many requests a second the server accepts from all callers together.
    Limited(&'static str),
    /// Streams `close_after` events and part of another one, then closes the connection.
    IncompleteEvent { close_after: u64 },
    /// Sends these bytes with the id of the request in place of `{id}`, and closes the connection.
    Raw(&'static str),
    /// Responds after a delay in milliseconds, and states that the server is leaving.
    Leaving(u64),
    /// Refuses the request after a delay in milliseconds, and states how long the server wants none.
    Paused(u64, &'static str),
    /// Responds before it has read the body of the request.
    Early(EarlyResponse),
}

/// A request as the server received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<String> {
        let line =
            self.head.lines().find(|line| line.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    }

    fn content_length(&self) -> usize {
        self.header("content-length").map_or(0, |length| length.parse().unwrap())
    }
}

/// The behaviour for each request. Servers may share a script.
pub type Script = Arc<Mutex<VecDeque<Behaviour>>>;

#[derive(Default)]
struct State {
    script: Script,
    received: Mutex<Vec<Received>>,
    /// The number of requests whose connection was closed while they ran.
    cancelled: Mutex<usize>,
    /// The number of bytes that were sent by endless responses.
    endless_bytes: Mutex<usize>,
    connections: Mutex<usize>,
}

/// A fake backend server. It follows its script and repeats the last entry.
#[derive(Clone)]
pub struct FakeServer {
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl FakeServer {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(State { script, ..State::default() });
        let server_state = state.clone();
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *server_state.connections.lock().unwrap() += 1;
                smol::spawn(serve(server_state.clone(), stream)).detach();
            }
        })
        .detach();
        Self { addr, state }
    }

    pub fn received(&self) -> Vec<Received> {
        self.state.received.lock().unwrap().clone()
    }

    pub fn cancelled(&self) -> usize {
        *self.state.cancelled.lock().unwrap()
    }

    pub fn endless_bytes(&self) -> usize {
        *self.state.endless_bytes.lock().unwrap()
    }

    pub fn connections(&self) -> usize {
        *self.state.connections.lock().unwrap()
    }
}

async fn serve(state: Arc<State>, mut stream: TcpStream) {
    let mut buf = Vec::new();
    while let Some(mut received) = read_head(&mut stream, &mut buf).await {
        let id = received.header("x-call").unwrap_or_default();
        let resume_after = received.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let behaviour = {
            let mut script = state.script.lock().unwrap();
            if script.len() > 1 { script.pop_front().unwrap() } else { script.front().unwrap().clone() }
        };
        if let Behaviour::Early(response) = &behaviour {
            let unread_bytes = received.content_length().saturating_sub(buf.len());
            state.received.lock().unwrap().push(received);
            return response.send(stream, &id, unread_bytes).await;
        }
        if read_body(&mut stream, &mut buf, &mut received).await.is_none() {
            return;
        }
        state.received.lock().unwrap().push(received);
        if !respond(&state, &mut stream, &behaviour, &id, resume_after).await {
            return;
        }
    }
}

/// Responds to a request. Returns whether the connection stays open.
async fn respond(state: &State, stream: &mut TcpStream, behaviour: &Behaviour, id: &str, after: u64) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n");
    let ok_response = |body: &str| format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let bytes = match behaviour {
        Behaviour::Respond(body) => ok_response(body),
        Behaviour::Slow(ms) => {
            if !sleep_while_open(stream, *ms).await {
                *state.cancelled.lock().unwrap() += 1;
                return false;
            }
            ok_response("slow")
        }
        Behaviour::Status(status) => {
            format!("HTTP/1.1 {status} S\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail")
        }
        Behaviour::Full => {
            format!("HTTP/1.1 503 S\r\nX-Call: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        }
        Behaviour::FullWithoutId => "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
        Behaviour::Misdirected => {
            format!("HTTP/1.1 421 S\r\nX-Call: {id}\r\nContent-Length: 0\r\n\r\n")
        }
        Behaviour::Reset => return false,
        Behaviour::Leaving(ms) => {
            Timer::after(Duration::from_millis(*ms)).await;
            ok_response("leaving").replace("X-Stamp: s\r\n", "X-Stamp: s\r\nX-Leaving: 1\r\n")
        }
        Behaviour::Paused(ms, retry_after) => {
            Timer::after(Duration::from_millis(*ms)).await;
            format!(
                "HTTP/1.1 503 S\r\nX-Call: {id}\r\nX-Not-Run: 1\r\nRetry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n"
            )
        }
        Behaviour::Raw(bytes) => bytes.replace("{id}", id),
        Behaviour::Early(_) => unreachable!("it is sent before the body of the request is read"),
        Behaviour::InvalidResponse => "nothing that HTTP knows\r\n\r\n".to_owned(),
        Behaviour::Truncated => format!("{head}Content-Length: 100\r\n\r\nshort"),
        Behaviour::WrongRequestId => ok_response("foreign").replace(id, "another"),
        Behaviour::TwoResponses => format!("{}{}", ok_response("once"), ok_response("twice")),
        Behaviour::NoFraming => format!("{head}\r\nunframed"),
        Behaviour::NoStamp => ok_response("unmarked").replace("X-Stamp: s\r\n", ""),
        Behaviour::LargestNumbers => {
            let load = format!("X-Load: {0},{0},4\r\nKeep-Alive: timeout={1}\r\n", u32::MAX, u64::MAX);
            ok_response("large").replace("X-Stamp: s\r\n", &format!("X-Stamp: s\r\n{load}"))
        }
        Behaviour::Limited(limit) => {
            ok_response("limited").replace("X-Stamp: s\r\n", &format!("X-Stamp: s\r\nX-Limit: {limit}\r\n"))
        }
        Behaviour::LateCopy(ms) => {
            let response = ok_response("copied");
            if stream.write_all(response.as_bytes()).await.is_err() {
                return false;
            }
            Timer::after(Duration::from_millis(*ms)).await;
            response
        }
        Behaviour::StatusWithoutId(status) => {
            format!("HTTP/1.1 {status} S\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail")
        }
        Behaviour::Endless { head, repeated } => {
            return send_without_end(state, stream, &head.replace("{id}", id), repeated).await;
        }
        Behaviour::Trickle { pause_ms } => {
            return trickle(state, stream, &head, *pause_ms).await;
        }
        Behaviour::Stream { events, close_after, pause_ms } => {
            return stream_events(state, stream, &head, after, *events, *close_after, *pause_ms).await;
        }
        Behaviour::IncompleteEvent { close_after } => {
            stream_events(state, stream, &head, after, u64::MAX, Some(*close_after), 0).await;
            let incomplete = chunk(&format!("id: {}\nda", after + close_after + 1));
            let _ = stream.write_all(incomplete.as_bytes()).await;
            return false;
        }
    };
    let closes = matches!(
        behaviour,
        Behaviour::Truncated | Behaviour::NoFraming | Behaviour::InvalidResponse | Behaviour::Raw(_)
    );
    stream.write_all(bytes.as_bytes()).await.is_ok() && !closes
}

/// Sends `head`, and then `repeated` until the peer closes the connection.
async fn send_without_end(state: &State, stream: &mut TcpStream, head: &str, repeated: &str) -> bool {
    let block = repeated.repeat(16_384 / repeated.len() + 1);
    let mut part = head.as_bytes();
    while stream.write_all(part).await.is_ok() {
        *state.endless_bytes.lock().unwrap() += part.len();
        part = block.as_bytes();
    }
    *state.cancelled.lock().unwrap() += 1;
    false
}

async fn trickle(state: &State, stream: &mut TcpStream, head: &str, pause_ms: u64) -> bool {
    let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    let first = chunk("id: 1\ndata: e1\n\n");
    let mut part = format!("{head}{first}{}", chunk("id: 2\ndata: "));
    while stream.write_all(part.as_bytes()).await.is_ok() {
        if !sleep_while_open(stream, pause_ms).await {
            break;
        }
        part = chunk("x");
    }
    *state.cancelled.lock().unwrap() += 1;
    false
}

async fn stream_events(
    state: &State,
    stream: &mut TcpStream,
    head: &str,
    after: u64,
    events: u64,
    close_after: Option<u64>,
    pause_ms: u64,
) -> bool {
    let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for (sent, id) in (after + 1..=events).enumerate() {
        if close_after == Some(sent as u64) {
            return false;
        }
        if !sleep_while_open(stream, pause_ms).await {
            *state.cancelled.lock().unwrap() += 1;
            return false;
        }
        if stream.write_all(chunk(&format!("id: {id}\ndata: e{id}\n\n")).as_bytes()).await.is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sleeps for `ms`. Returns false if the peer closes the connection before.
async fn sleep_while_open(stream: &mut TcpStream, ms: u64) -> bool {
    use futures_lite::FutureExt;
    let mut byte = [0];
    let closed = async {
        let _ = stream.read(&mut byte).await;
        false
    };
    let slept = async {
        Timer::after(Duration::from_millis(ms)).await;
        true
    };
    slept.or(closed).await
}

pub async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Received> {
    let mut received = read_head(stream, buf).await?;
    read_body(stream, buf, &mut received).await?;
    Some(received)
}

async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Received> {
    let end = loop {
        if let Some(i) = find(buf, b"\r\n\r\n") {
            break i + 4;
        }
        fill(stream, buf).await?;
    };
    let head = String::from_utf8(buf.drain(..end).collect()).ok()?;
    Some(Received { head, body: Vec::new(), at: Instant::now() })
}

async fn read_body(stream: &mut TcpStream, buf: &mut Vec<u8>, received: &mut Received) -> Option<()> {
    let length = received.content_length();
    while buf.len() < length {
        fill(stream, buf).await?;
    }
    received.body = buf.drain(..length).collect();
    Some(())
}

async fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
    buf.extend_from_slice(&part[..n]);
    Some(())
}
