//! Counts the bytes of one TCP connection after another by standing between its ends.

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

/// Forwards connections to an address and counts what passes.
#[derive(Clone)]
pub(crate) struct ByteMeter {
    address: SocketAddr,
    received: Arc<AtomicU64>,
}

impl ByteMeter {
    /// Listens on loopback and forwards to `target` for as long as the chore runs.
    pub(crate) fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let meter = Self { address: listener.local_addr()?, received: Arc::default() };
        let counted = meter.received.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                if let Err(error) = forward(near, far, &counted) {
                    eprintln!("xtask: cannot forward a connection: {error}");
                }
            }
        });
        Ok(meter)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes that came from the target so far.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

fn forward(near: TcpStream, far: TcpStream, received: &Arc<AtomicU64>) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, far_read) = (near.try_clone()?, far.try_clone()?);
    let counted = received.clone();
    thread::spawn(move || pump(near_read, far, &AtomicU64::new(0)));
    thread::spawn(move || pump(far_read, near, &counted));
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buf = vec![0; BUFFER_LEN];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        count.fetch_add(len as u64, Ordering::Relaxed);
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
