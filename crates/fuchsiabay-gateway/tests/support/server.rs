//! A stand-in for a backend server that can misbehave.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::caller::find;

/// What the server does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers with this body.
    Answer(&'static str),
    /// Answers after a pause in milliseconds.
    Slow(u64),
    /// Answers with this status and the mark of a whole response.
    Status(u16),
    /// Says that it is full.
    Full,
    /// Says that another server has its address.
    Misdirected,
    /// Closes the connection without an answer.
    Reset,
    /// Sends bytes that are no answer.
    Garbage,
    /// Announces more bytes than it sends.
    Truncated,
    /// Answers for another request.
    WrongId,
    /// Answers twice.
    Twice,
    /// Sends a body that ends with its connection.
    Unframed,
    /// Answers without the mark of a whole response.
    Unmarked,
    /// Streams these events, or those after the one that the request names, and closes midway after some.
    Stream { events: u64, break_after: Option<u64>, pause_ms: u64 },
    /// Like a broken stream, but the last event is cut in the middle.
    TornStream { break_after: u64 },
}

/// A request as the server got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<String> {
        let line =
            self.head.lines().find(|line| line.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    }
}

/// What the servers of a service do, request by request. Servers may share it.
pub type Script = Arc<Mutex<VecDeque<Behaviour>>>;

#[derive(Default)]
struct State {
    script: Script,
    received: Mutex<Vec<Received>>,
    /// Requests whose connection was closed while they ran.
    abandoned: Mutex<usize>,
    connections: Mutex<usize>,
}

/// A backend server. It follows its script and then repeats the last line.
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
        let of_server = state.clone();
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *of_server.connections.lock().unwrap() += 1;
                smol::spawn(serve(of_server.clone(), stream)).detach();
            }
        })
        .detach();
        Self { addr, state }
    }

    pub fn received(&self) -> Vec<Received> {
        self.state.received.lock().unwrap().clone()
    }

    pub fn abandoned(&self) -> usize {
        *self.state.abandoned.lock().unwrap()
    }

    pub fn connections(&self) -> usize {
        *self.state.connections.lock().unwrap()
    }
}

async fn serve(state: Arc<State>, mut stream: TcpStream) {
    let mut buf = Vec::new();
    while let Some(received) = read_request(&mut stream, &mut buf).await {
        let id = received.header("x-call").unwrap_or_default();
        let resume_after = received.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let behaviour = {
            let mut script = state.script.lock().unwrap();
            if script.len() > 1 { script.pop_front().unwrap() } else { script.front().unwrap().clone() }
        };
        state.received.lock().unwrap().push(received);
        if !respond(&state, &mut stream, &behaviour, &id, resume_after).await {
            return;
        }
    }
}

/// Responds. Returns whether the connection goes on.
async fn respond(state: &State, stream: &mut TcpStream, behaviour: &Behaviour, id: &str, after: u64) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n");
    let whole = |body: &str| format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let bytes = match behaviour {
        Behaviour::Answer(body) => whole(body),
        Behaviour::Slow(ms) => {
            if !sleep_while_open(stream, *ms).await {
                *state.abandoned.lock().unwrap() += 1;
                return false;
            }
            whole("slow")
        }
        Behaviour::Status(status) => {
            format!("HTTP/1.1 {status} S\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail")
        }
        Behaviour::Full => "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
        Behaviour::Misdirected => "HTTP/1.1 421 S\r\nContent-Length: 0\r\n\r\n".to_owned(),
        Behaviour::Reset => return false,
        Behaviour::Garbage => "nothing that HTTP knows\r\n\r\n".to_owned(),
        Behaviour::Truncated => format!("{head}Content-Length: 100\r\n\r\nshort"),
        Behaviour::WrongId => whole("foreign").replace(id, "another"),
        Behaviour::Twice => format!("{}{}", whole("once"), whole("twice")),
        Behaviour::Unframed => format!("{head}\r\nunframed"),
        Behaviour::Unmarked => whole("unmarked").replace("X-Stamp: s\r\n", ""),
        Behaviour::Stream { events, break_after, pause_ms } => {
            return stream_events(state, stream, &head, after, *events, *break_after, *pause_ms).await;
        }
        Behaviour::TornStream { break_after } => {
            stream_events(state, stream, &head, after, u64::MAX, Some(*break_after), 0).await;
            let torn = chunk(&format!("id: {}\nda", after + break_after + 1));
            let _ = stream.write_all(torn.as_bytes()).await;
            return false;
        }
    };
    let closes = matches!(behaviour, Behaviour::Truncated | Behaviour::Unframed | Behaviour::Garbage);
    stream.write_all(bytes.as_bytes()).await.is_ok() && !closes
}

async fn stream_events(
    state: &State,
    stream: &mut TcpStream,
    head: &str,
    after: u64,
    events: u64,
    break_after: Option<u64>,
    pause_ms: u64,
) -> bool {
    let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for (sent, id) in (after + 1..=events).enumerate() {
        if break_after == Some(sent as u64) {
            return false;
        }
        if !sleep_while_open(stream, pause_ms).await {
            *state.abandoned.lock().unwrap() += 1;
            return false;
        }
        if stream.write_all(chunk(&format!("id: {id}\ndata: e{id}\n\n")).as_bytes()).await.is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Waits. Returns false when the peer closes the connection meanwhile.
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

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Received> {
    let end = loop {
        if let Some(i) = find(buf, b"\r\n\r\n") {
            break i + 4;
        }
        fill(stream, buf).await?;
    };
    let head = String::from_utf8(buf.drain(..end).collect()).ok()?;
    let mut received = Received { head, body: Vec::new() };
    let length = received.header("content-length").map_or(0, |length| length.parse().unwrap());
    while buf.len() < length {
        fill(stream, buf).await?;
    }
    received.body = buf.drain(..length).collect();
    Some(received)
}

async fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
    buf.extend_from_slice(&part[..n]);
    Some(())
}
