//! A TCP proxy that counts bytes.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

const BUFFER_LEN: usize = 64 << 10;

/// Forwards connections to an address and counts the bytes that come back from it.
#[derive(Clone)]
pub(crate) struct ByteMeter {
    local_addr: SocketAddr,
    received: Arc<AtomicU64>,
}

impl ByteMeter {
    /// Listens on loopback and forwards connections to `target` until this process exits.
    pub(crate) fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let meter = Self { local_addr: listener.local_addr()?, received: Arc::default() };
        let counter = meter.received.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(target) else {
                    continue;
                };
                if let Err(error) = forward(client, upstream, &counter) {
                    eprintln!("xtask: byte meter failed to forward a connection: {error}");
                }
            }
        });
        Ok(meter)
    }

    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Returns the number of bytes that were received from the target so far.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Copies both directions of a connection and counts the bytes from `upstream`.
fn forward(client: TcpStream, upstream: TcpStream, received: &Arc<AtomicU64>) -> io::Result<()> {
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (client_reader, upstream_reader) = (client.try_clone()?, upstream.try_clone()?);
    let counter = received.clone();
    thread::spawn(move || copy_counted(client_reader, upstream, &AtomicU64::new(0)));
    thread::spawn(move || copy_counted(upstream_reader, client, &counter));
    Ok(())
}

fn copy_counted(mut from: TcpStream, mut to: TcpStream, counter: &AtomicU64) {
    let mut buf = vec![0; BUFFER_LEN];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        counter.fetch_add(len as u64, Ordering::Relaxed);
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
