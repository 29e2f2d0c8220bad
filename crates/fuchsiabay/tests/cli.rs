//! Runs the CLI as a process with fakes of the log, the instance list and an instance.

use std::{path::Path, process::Command, sync::Arc};

use fuchsiabay_bench::{FakeInstanceList, FakeLog, LogSettings, Server};
use fuchsiabay_runtime::{OpsServer, OpsSource};
use serde_json::{Value, json};
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// A fake instance that uses version 1.
struct FakeInstance;

impl OpsSource for FakeInstance {
    fn state(&self) -> Value {
        json!({"config": {"version": 1, "preset": "ordinary"}})
    }

    fn readiness(&self) -> Result<(), String> {
        Ok(())
    }
}

struct FakePlatform {
    log: Server,
    list: Server,
    instance: OpsServer,
}

impl FakePlatform {
    async fn start() -> Self {
        let log = Server::start(0, FakeLog::handler(LogSettings::default())).await.unwrap();
        let list = Server::start(0, FakeInstanceList::handler(0)).await.unwrap();
        let instance =
            OpsServer::start("127.0.0.1:0".parse().unwrap(), Arc::new(FakeInstance)).await.unwrap();
        let platform = Self { log, list, instance };
        platform.register_instance().await;
        platform
    }

    /// Adds the instance to the list. Its peer port is the one before its ops port.
    async fn register_instance(&self) {
        let mut peer = self.instance.local_addr();
        peer.set_port(peer.port() - 1);
        let instances = json!({"instances": [{
            "id": "e1", "role": "entry", "zone": "a", "peer": peer, "generation": 1, "state": "live",
        }]});
        post(&format!("{}/instances", self.list.url()), instances).await;
    }

    async fn set_faults(&self, faults: Value) {
        post(&format!("{}/faults", self.log.url()), faults).await;
    }

    /// Runs the CLI and expects the exit code `exit` and output that contains `expected`.
    fn check(&self, args: &[&str], exit: i32, expected: &str) {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/dakar");
        let output = Command::new(env!("CARGO_BIN_EXE_fuchsiabay"))
            .args(args)
            .current_dir(examples)
            .env("FUCHSIABAY_LOG_URL", self.log.url())
            .env("FUCHSIABAY_LIST_URL", self.list.url())
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(exit), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
}

async fn post(url: &str, body: Value) {
    let client = Client::new(ClientConfig::default());
    let conn = client.post(url).with_body(body.to_string()).await.unwrap();
    assert!(conn.status().is_some_and(|status| status.is_success()));
}

fn with_platform(f: impl AsyncFnOnce(FakePlatform)) {
    smol::block_on(async { f(FakePlatform::start().await).await });
}

/// Guards against wrong exit codes in the sequence of commands that operators' scripts run and branch on.
#[test]
fn publish_switch_and_status() {
    with_platform(async |platform| {
        platform.check(&["preset", "list"], 2, "no configuration was published yet");
        platform.check(&["publish", "configuration.jsonc"], 0, "accepted as version 1");
        platform.check(&["status"], 0, "in force everywhere (1 instances)");
        platform.check(&["publish", "configuration.jsonc"], 0, "already in force as version 1");
        platform.check(&["publish", "entry.jsonc"], 2, "entry.jsonc:4: instance: unknown field");
        platform.check(&["preset", "switch", "peak", "--json"], 0, r#""version":2"#);
        platform.check(&["preset", "list"], 0, "* peak");
        platform.check(&["status"], 4, "not in force everywhere: 1 of 1 instances");
        let ops_addr = platform.instance.local_addr().to_string();
        platform.check(&["dump", &ops_addr], 0, r#""preset": "ordinary""#);
    });
}

/// Guards against operators publishing again, or believing that a change had no effect, when the log's response is lost
/// or the log is unavailable.
#[test]
fn lost_response_and_log_outage() {
    with_platform(async |platform| {
        platform.set_faults(json!({"lose_answers": 1})).await;
        platform.check(&["publish", "configuration.jsonc"], 0, "accepted as version 1");
        platform.set_faults(json!({"outage": true})).await;
        platform.check(&["preset", "switch", "peak"], 4, "log: failed with status 503");
        platform.check(&["status"], 4, "not proved to be in force everywhere");
    });
}

#[test]
fn invalid_arguments() {
    with_platform(async |platform| {
        platform.check(&["--help"], 0, "preset");
        platform.check(&["preset", "switch"], 2, "NAME");
        platform.check(&["status", "--log-url", "log"], 2, "log_url: allowed: http://");
        platform.check(&["check", "entry.jsonc", "no-such-file"], 2, "no-such-file: ");
        platform.check(&["dump", "127.0.0.1:0"], 4, "the connection was refused");
    });
}
