//! The operators' HTTP over a real socket, and the orders that signals stand for.

use std::{io, sync::Arc};

use async_signal::Signal;
use fuchsiabay_runtime::{OpsClient, OpsServer, OpsSource, ShutdownRequest, ShutdownSignals, monotonic_now};
use futures_lite::stream;
use serde_json::{Value, json};
use trillium_client::Client;
use trillium_smol::ClientConfig;

struct Draining;

impl OpsSource for Draining {
    fn state(&self) -> Value {
        json!({"draining": true})
    }

    fn readiness(&self) -> Result<(), String> {
        Err("draining".into())
    }
}

fn check(path: &str, status: u16, body: &str) {
    smol::block_on(async {
        let server = OpsServer::start("127.0.0.1:0".parse().unwrap(), Arc::new(Draining)).await.unwrap();
        metrics::counter!("ops_test_total").increment(1);
        let client = Client::new(ClientConfig::default());
        let mut conn = client.get(format!("http://{}{path}", server.local_addr())).await.unwrap();
        assert_eq!(conn.status().unwrap() as u16, status);
        let text = conn.response_body().read_string().await.unwrap();
        assert!(text.contains(body), "{text}");
    });
}

macro_rules! ops_cases {
    ($($name:ident: $path:literal => $status:literal, $body:literal;)*) => {
        $(#[test]
        fn $name() {
            check($path, $status, $body);
        })*
    };
}

// A load balancer in front reads these; a wrong status keeps a draining instance in rotation.
ops_cases! {
    serves_the_dump: "/state" => 200, r#"{"draining":true}"#;
    is_healthy_while_draining: "/healthz" => 200, "ok";
    is_not_ready_while_draining: "/readyz" => 503, "not ready: draining";
    renders_metrics: "/metrics" => 200, "ops_test_total ";
    serves_nothing_else: "/" => 404, "";
}

// `fuchsiabay status` would report a draining instance as unreachable.
#[test]
fn client_reads_the_dump_and_the_readiness() {
    smol::block_on(async {
        let server = OpsServer::start("127.0.0.1:0".parse().unwrap(), Arc::new(Draining)).await.unwrap();
        let client = OpsClient::new(server.local_addr());
        let deadline = monotonic_now().plus_millis(60_000);
        assert_eq!(client.state(deadline).await.unwrap(), json!({"draining": true}));
        assert_eq!(client.readiness(deadline).await.unwrap(), Err("draining".into()));
    });
}

// A first signal that stopped at once would cut off requests in flight.
#[test]
fn drains_first_and_then_stops() {
    smol::block_on(async {
        let source = [Ok(Signal::Term), Err(io::ErrorKind::Other.into()), Ok(Signal::Int), Ok(Signal::Term)];
        let mut signals = ShutdownSignals::from_signals(stream::iter(source));
        assert_eq!(signals.next().await, Some(ShutdownRequest::Drain));
        assert_eq!(signals.next().await, Some(ShutdownRequest::StopNow));
        assert_eq!(signals.next().await, Some(ShutdownRequest::StopNow));
        assert_eq!(signals.next().await, None);
    });
}
