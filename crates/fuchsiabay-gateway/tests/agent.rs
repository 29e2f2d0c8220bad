//! The agent beside an engine.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fuchsiabay_gateway::{AgentSettings, HttpClient, ORDER_ENCODING, RunningAgent, compress};
use fuchsiabay_runtime::monotonic_now;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use support::{Behaviour, FakeServer};

async fn start_agent(engine: SocketAddr) -> RunningAgent {
    let settings = AgentSettings {
        instance: "test".to_owned(),
        listen: "127.0.0.1:0".parse().unwrap(),
        engine,
        path_prefix: "/control/",
        leaving_header: "X-Leaving",
        counts_path: "/control/counts",
        decode_counts: |_| None,
    };
    RunningAgent::start(settings).await.unwrap()
}

async fn get(addr: SocketAddr, target: &str) -> (u16, String) {
    let deadline = monotonic_now().plus_millis(2_000);
    let response = HttpClient::new(addr).get(target, deadline).await.expect("a response before the deadline");
    (response.status, String::from_utf8(response.body).unwrap())
}

/// Guards against an agent that forwards anything but control calls, or hides that its engine sent no response.
#[test]
fn agent_forwards_control_calls() {
    smol::block_on(async {
        let accepted = Behaviour::Respond("accepted");
        let script = [Behaviour::Respond("report"), accepted.clone(), accepted, Behaviour::Reset];
        let engine = FakeServer::start(Arc::new(Mutex::new(script.into()))).await;
        let agent = start_agent(engine.addr).await;
        let addr = agent.listen_addr();
        assert_eq!(get(addr, "/control/report").await, (200, "report".to_owned()));
        let deadline = monotonic_now().plus_millis(2_000);
        let order =
            HttpClient::new(addr).post("/control/order", "application/json", b"{}", deadline).await.unwrap();
        assert_eq!((order.status, engine.received()[1].body.as_slice()), (200, &b"{}"[..]));
        let compressed = compress(b"{}").unwrap();
        let encoding = format!("Content-Encoding: {ORDER_ENCODING}\r\n");
        let mut client = HttpClient::new(addr);
        let post =
            client.post_with_headers("/control/order", "application/json", &encoding, &compressed, deadline);
        assert_eq!((post.await.unwrap().status, engine.received()[2].body.as_slice()), (200, &b"{}"[..]));
        let mut client = HttpClient::new(addr);
        let post =
            client.post_with_headers("/control/order", "application/json", &encoding, b"\xff", deadline);
        assert_eq!(post.await.unwrap().status, 400, "an order that cannot be decompressed is not forwarded");
        assert_eq!(get(addr, "/other").await.0, 404);
        assert_eq!(get(addr, "/control/report").await.0, 504);
        assert_eq!(engine.received().len(), 4);
        assert!(get(addr, "/state").await.1.contains("\"unanswered\":1"));
    });
}

/// Answers each GET request on the connection, and once more 10 ms later. Gives no answer to other requests.
async fn serve_copies(mut stream: TcpStream) {
    let mut buf = [0; 1_024];
    while let Ok(n @ 1..) = stream.read(&mut buf).await {
        let is_get = buf[..n].starts_with(b"GET ");
        let response: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport";
        let mut copies = stream.clone();
        let send = async move {
            copies.write_all(response).await?;
            Timer::after(Duration::from_millis(10)).await;
            copies.write_all(response).await
        };
        if is_get {
            smol::spawn(send).detach();
        }
    }
}

/// Guards against a second copy of a report that is taken for the reply to an order which got none.
#[test]
fn copy_of_a_report_is_no_reply_to_an_order() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let agent = start_agent(listener.local_addr().unwrap()).await;
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                smol::spawn(serve_copies(stream)).detach();
            }
        })
        .detach();
        let addr = agent.listen_addr();
        assert_eq!(get(addr, "/control/report").await, (200, "report".to_owned()));
        let deadline = monotonic_now().plus_millis(2_000);
        let order = HttpClient::new(addr).post("/control/order", "application/json", b"{}", deadline).await;
        assert_eq!(order.unwrap().status, 504);
    });
}
