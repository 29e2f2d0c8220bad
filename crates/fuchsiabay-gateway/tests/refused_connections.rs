//! Attempts that provably did not run, because nothing was written to a server.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::OwnedFd,
};

use fuchsiabay_balancer::ServerRecord;
use rustix::net::{self, AddressFamily, SocketType};
use support::{
    FakeServer, Harness,
    harness::{config, record},
    platform::FakePlatform,
};

/// How a server's address meets connections.
#[derive(Clone, Copy)]
enum Address {
    /// Nothing listens, so that connections are refused.
    Closed,
    /// The queue of the listener is full, so that connections are not answered.
    Full,
}

/// Returns an address in this state, and the sockets that keep it there.
fn hold(address: Address) -> (SocketAddr, Vec<OwnedFd>) {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    match address {
        Address::Closed => {
            // A socket that is bound and does not listen refuses connections, and keeps the port from other listeners.
            let bound = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
            net::bind(&bound, &any).unwrap();
            let addr = net::getsockname(&bound).unwrap().try_into().unwrap();
            (addr, vec![bound])
        }
        Address::Full => {
            let listener = TcpListener::bind(any).unwrap();
            let addr = listener.local_addr().unwrap();
            net::listen(&listener, 0).unwrap();
            let first = TcpStream::connect(addr).unwrap();
            (addr, vec![listener.into(), first.into()])
        }
    }
}

/// Sends one request on `path` to servers at `addresses` and checks the status.
async fn check(path: &str, addresses: &[Address], left_ms: u64, status: u16) {
    let held: Vec<_> = addresses.iter().map(|address| hold(*address)).collect();
    let platform = FakePlatform::default();
    *platform.config.lock().unwrap() = Some(config(1));
    let model = FakeServer::start(Default::default()).await;
    let record_of =
        |(i, held): (usize, &(SocketAddr, _))| ServerRecord { address: held.0, ..record(i, &model) };
    *platform.servers.lock().unwrap() = held.iter().enumerate().map(record_of).collect();
    let harness = Harness::start_with(platform, vec![], &[]).await;
    harness.wait_until_ready().await;
    let request = support::get_request(path, "c1", left_ms);
    let response = harness.caller().await.round_trip(request.as_bytes()).await;
    assert_eq!(response.map_or(0, |response| response.status), status);
}

cases! { check:
    /// Guards against telling a caller that its request may have run although every connection was refused.
    refused_connections_yield_503("/unsafe/a", &[Address::Closed, Address::Closed], 900, 503);
    refused_connections_of_a_stream_yield_503("/stream/a", &[Address::Closed, Address::Closed, Address::Closed], 900, 503);
    /// Guards against the same if the deadline passes while a connection is being opened.
    request_that_was_never_written_yields_503("/unsafe/a", &[Address::Full], 250, 503);
    stream_that_was_never_written_yields_503("/stream/a", &[Address::Closed, Address::Full], 250, 503);
}
