//! The ops HTTP server over a real socket, and the shutdown requests that signals cause.

use std::{io, sync::Arc};

use async_signal::Signal;
use fuchsiabay_runtime::{OpsClient, OpsServer, OpsSource, ShutdownRequest, ShutdownSignals, monotonic_now};
use futures_lite::stream;
use serde_json::{Value, json};
use trillium_client::Client;
use trillium_smol::ClientConfig;

struct DrainingSource;

impl OpsSource for DrainingSource {
    fn state(&self) -> Value {
        json!({"draining": true})
    }

    fn readiness(&self) -> Result<(), String> {
        Err("draining".into())
    }
}

fn check(path: &str, status: u16, body: &str) {
    smol::block_on(async {
        let server =
            OpsServer::start("127.0.0.1:0".parse().unwrap(), Arc::new(DrainingSource)).await.unwrap();
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

// Guards against a draining instance that stays in rotation because an upstream load balancer reads a wrong status.
ops_cases! {
    state_is_served: "/state" => 200, r#"{"draining":true}"#;
    draining_instance_is_healthy: "/healthz" => 200, "ok";
    draining_instance_is_not_ready: "/readyz" => 503, "not ready: draining";
    metrics_are_rendered: "/metrics" => 200, "ops_test_total ";
    unknown_path_is_not_found: "/" => 404, "";
}

/// Guards against `fuchsiabay status` reporting a draining instance as unreachable.
#[test]
fn client_reads_state_and_readiness() {
    smol::block_on(async {
        let server =
            OpsServer::start("127.0.0.1:0".parse().unwrap(), Arc::new(DrainingSource)).await.unwrap();
        let client = OpsClient::new(server.local_addr());
        let deadline = monotonic_now().plus_millis(60_000);
        assert_eq!(client.state(deadline).await.unwrap(), json!({"draining": true}));
        assert_eq!(client.readiness(deadline).await.unwrap(), Err("draining".into()));
    });
}

/// Guards against in-flight requests that are aborted because the first signal stops the process immediately.
#[test]
fn first_signal_drains_and_later_ones_stop() {
    smol::block_on(async {
        let source = [Ok(Signal::Term), Err(io::ErrorKind::Other.into()), Ok(Signal::Int), Ok(Signal::Term)];
        let mut signals = ShutdownSignals::from_signals(stream::iter(source));
        assert_eq!(signals.next().await, Some(ShutdownRequest::Drain));
        assert_eq!(signals.next().await, Some(ShutdownRequest::StopNow));
        assert_eq!(signals.next().await, Some(ShutdownRequest::StopNow));
        assert_eq!(signals.next().await, None);
    });
}
