//! Fake servers that crash when they run a request with a bad part in its prompt or a bad body, and come back under another
//! id.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use fuchsiabay_balancer::{ServerRecord, ServerState};
use fuchsiabay_base::{InstanceId, ServiceName, ZoneName};
use smol::{
    Task, Timer,
    channel::{Receiver, Sender},
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

use super::{
    platform::FakePlatform,
    server::{Received, chunk, read_request},
};

/// What crashes a server if it occurs among the parts of a prompt or in a body.
pub const BAD: &str = "bad";

/// The body of a request whose events have long pauses.
pub const SLOW: &str = "slow";

/// The time from the first event of a bad request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// The number of events of a stream, and the pause between them.
const EVENTS: u64 = 4;
const EVENT_PAUSE: Duration = Duration::from_millis(15);
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(500);

/// Servers of one service that share a directory.
#[derive(Clone)]
pub struct CrashingFleet {
    pub platform: FakePlatform,
    /// When bad requests arrived at servers.
    bad_arrivals: Arc<Mutex<Vec<Instant>>>,
    /// When servers crashed.
    crashes: Arc<Mutex<Vec<Instant>>>,
    starts: Arc<AtomicUsize>,
    /// How long a crashed server is down.
    down: Duration,
}

impl CrashingFleet {
    /// Starts `count` servers in the directory of `platform`, which are down for `down` after a crash.
    pub async fn start(platform: FakePlatform, count: usize, down: Duration) -> Self {
        let fleet = Self {
            platform,
            bad_arrivals: Arc::default(),
            crashes: Arc::default(),
            starts: Arc::default(),
            down,
        };
        for _ in 0..count {
            let first = fleet.start_server().await;
            smol::spawn(fleet.clone().run_server(first)).detach();
        }
        fleet
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().clone()
    }

    pub fn bad_arrivals(&self) -> Vec<Instant> {
        self.bad_arrivals.lock().unwrap().clone()
    }

    /// Opens the address of a new server and adds the server to the directory.
    async fn start_server(&self) -> (TcpListener, InstanceId) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let n = self.starts.fetch_add(1, Ordering::Relaxed);
        let id = InstanceId::new(format!("i-{n}"));
        let record = ServerRecord {
            id: id.clone(),
            service: ServiceName::new("s"),
            address: listener.local_addr().unwrap(),
            zone: ZoneName::new("z"),
            slots: 4,
            state: ServerState::Ready,
            started_at_ms: 1 + n as u64,
            seq: 1,
        };
        self.platform.servers.lock().unwrap().push(record);
        (listener, id)
    }

    /// Runs a server, and after each crash another one.
    async fn run_server(self, first: (TcpListener, InstanceId)) {
        let mut server = first;
        loop {
            let (listener, id) = server;
            let (tx, rx) = smol::channel::unbounded();
            self.serve_until_crash(listener, tx, rx).await;
            self.crashes.lock().unwrap().push(Instant::now());
            self.platform.servers.lock().unwrap().retain(|record| record.id != id);
            Timer::after(self.down).await;
            server = self.start_server().await;
        }
    }

    /// Serves until a request crashes the server, which closes its address and all its connections.
    async fn serve_until_crash(&self, listener: TcpListener, tx: Sender<()>, rx: Receiver<()>) {
        use futures_lite::FutureExt;
        let mut connections: Vec<Task<()>> = Vec::new();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                connections.push(smol::spawn(self.clone().serve(stream, tx.clone())));
            }
        };
        let crash = async {
            let _ = rx.recv().await;
        };
        accept.or(crash).await;
    }

    async fn serve(self, mut stream: TcpStream, crash: Sender<()>) {
        let mut buf = Vec::new();
        while let Some(req) = read_request(&mut stream, &mut buf).await {
            let is_bad = is_bad(&req);
            if is_bad {
                self.bad_arrivals.lock().unwrap().push(Instant::now());
            }
            if respond(&mut stream, &req, is_bad).await.is_err() {
                return;
            }
            if is_bad {
                Timer::after(CRASH_DELAY).await;
                let _ = crash.send(()).await;
            }
        }
    }
}

fn is_bad(req: &Received) -> bool {
    req.header("x-parts").unwrap_or_default().contains(BAD) || req.body == BAD.as_bytes()
}

/// Streams all events, or only the first one if the request is bad.
async fn respond(stream: &mut TcpStream, req: &Received, is_bad: bool) -> std::io::Result<()> {
    let id = req.header("x-call").unwrap_or_default();
    let after: u64 = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let head = format!("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let pause = if req.body == SLOW.as_bytes() { SLOW_EVENT_PAUSE } else { EVENT_PAUSE };
    for id in after + 1..=EVENTS.max(after + 1) {
        Timer::after(pause).await;
        stream.write_all(chunk(&format!("id: {id}\ndata: e{id}\n\n")).as_bytes()).await?;
        if is_bad {
            return Ok(());
        }
    }
    stream.write_all(b"0\r\n\r\n").await
}
