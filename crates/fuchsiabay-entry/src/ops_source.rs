//! The read-only state dump and readiness check for operators.

use fuchsiabay_base::Timestamp;
use fuchsiabay_routing::Server;
use fuchsiabay_runtime::{OpsSource, monotonic_now, unix_now};
use serde_json::{Value, json};

use crate::{agent_connection::AgentConnection, config_source::ConfigSource, entry::Entry};

impl<C: ConfigSource> OpsSource for Entry<C> {
    fn state(&self) -> Value {
        let now = monotonic_now();
        let services: serde_json::Map<String, Value> = self
            .router
            .all()
            .into_iter()
            .map(|(name, servers)| {
                (name.as_str().to_owned(), servers.iter().map(|server| dump_server(server, now)).collect())
            })
            .collect();
        let quarantine: Vec<Value> = self
            .quarantine
            .suspects(unix_now())
            .into_iter()
            .map(|(fingerprint, crashes)| json!({"fingerprint": fingerprint, "crashes": crashes}))
            .collect();
        json!({
            "instance": self.identity.instance,
            "zone": self.identity.zone,
            "generation": self.identity.generation,
            "config_version": self.config.in_force().map(|config| config.version),
            "config": self.config.dump(now),
            "draining": self.is_draining(),
            "open_requests": self.open_requests(),
            "live_entries": self.live_entries.load(std::sync::atomic::Ordering::Relaxed),
            "retries_left": self.retry_budget.remaining(),
            "remembered_prefixes": self.router.prefix_count(),
            "services": services,
            "quarantine": quarantine,
            "counters": self.counters.dump(),
            "invariant_violations": fuchsiabay_base::violation_count(),
        })
    }

    fn readiness(&self) -> Result<(), String> {
        if self.is_draining() {
            return Err("draining".to_owned());
        }
        if self.servable_config(monotonic_now()).is_none() {
            return Err("the configuration is not proved current".to_owned());
        }
        Ok(())
    }
}

fn dump_server(server: &Server<AgentConnection>, now: Timestamp) -> Value {
    let load = server.load();
    json!({
        "instance": server.id().instance,
        "generation": server.id().generation,
        "zone": server.zone(),
        "connected": load.connected,
        "report": load.report,
        "report_age_ms": now.millis_since(load.reported_at),
        "sent_attempts": load.sent_attempts,
        "sent_tokens": load.sent_tokens,
        "open_attempts": server.handle().open_attempts(),
        "skipped_for_ms": load.skip_until.millis_since(now),
        "pace_us": load.inter_token_us,
        "straggler": load.straggler,
    })
}
