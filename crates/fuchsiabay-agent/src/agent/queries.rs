//! Read-only operations on the agent.

use fuchsiabay_admission::JobId;
use fuchsiabay_follow::NeighbourSource;
use fuchsiabay_runtime::{OpsSource, Peer, monotonic_now, unix_now};
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::LoadReport;
use serde_json::{Value, json};

use super::Agent;
use crate::{ConfigView, attempt::Attempt};

impl<C: ConfigView> Agent<C> {
    /// Returns the load report for entry instances.
    pub(crate) fn load_report(&self) -> LoadReport {
        let load = self.scheduler.lock().load(monotonic_now());
        LoadReport {
            generation: self.params.identity.generation,
            queued: load.queued,
            running: load.running,
            slots: load.slots,
            outstanding_tokens: load.outstanding_tokens,
            predicted_wait_ms: load.predicted_wait_ms,
            draining: load.draining || load.down,
        }
    }

    /// Returns whether there is neither an open attempt nor a claim that waits for the log.
    pub fn is_idle(&self) -> bool {
        self.attempts.len() == 0 && self.claims.is_idle()
    }

    /// Returns whether a drain is complete, so that the process may stop.
    pub(crate) fn may_stop(&self) -> bool {
        self.is_idle() && self.scheduler.lock().may_stop(monotonic_now())
    }

    /// Returns whether the scheduler counts the job as running.
    pub(crate) fn holds_slot(&self, job: JobId) -> bool {
        self.scheduler.lock().is_running(job)
    }

    /// Returns the id of an attempt at the engine. It is unique across all incarnations of all agents, because an
    /// engine outlives its agent.
    pub(crate) fn engine_stream_id(&self, attempt: &Attempt) -> String {
        let identity = &self.params.identity;
        format!("{}-{}-{}", identity.instance, identity.generation, attempt.job)
    }
}

impl<C: ConfigView> OpsSource for Agent<C> {
    fn state(&self) -> Value {
        let now = monotonic_now();
        let attempts = self.attempts.all();
        let attempts: Vec<_> =
            attempts.iter().map(|attempt| attempt_state(attempt, now.as_millis())).collect();
        // Only plain services have claims, and only engines receive orders.
        let plain = self.params.kind == BackendKind::Plain;
        json!({
            "role": "agent",
            "instance": self.params.identity.instance,
            "generation": self.params.identity.generation,
            "zone": self.params.identity.zone,
            "service": self.params.service,
            "backend": self.params.backend_url,
            "scheduler": self.scheduler.lock().status(now),
            "attempts": attempts,
            "claims": plain.then(|| self.claims.status()),
            "orders": (!plain).then(|| self.orders.status(unix_now())),
            "group": self.group.as_ref().map(|group| group.status()),
            "config": self.config.dump(now),
            "entries": self.neighbours().iter().map(|peer| peer.hello().instance.clone()).collect::<Vec<_>>(),
            "invariant_violations": fuchsiabay_base::violation_count(),
        })
    }

    fn readiness(&self) -> Result<(), String> {
        let now = monotonic_now();
        let load = self.scheduler.lock().load(now);
        if load.draining {
            return Err("draining".to_owned());
        }
        if load.down {
            return Err("the backend server is down".to_owned());
        }
        if !self.config.is_fresh(now) {
            return Err("the configuration is not proved current".to_owned());
        }
        Ok(())
    }
}

impl<C: ConfigView> NeighbourSource for Agent<C> {
    fn neighbours(&self) -> Vec<Peer> {
        let own_zone = &self.params.identity.zone;
        let mut neighbours = self.neighbours.lock();
        neighbours.retain(|peer| !peer.is_closed());
        let mut neighbours = neighbours.clone();
        neighbours.sort_by_key(|peer| peer.hello().zone != *own_zone);
        neighbours
    }
}

fn attempt_state(attempt: &Attempt, now_ms: u64) -> Value {
    json!({
        "job": attempt.job,
        "attempt": attempt.id(),
        "entry": attempt.session.peer.hello().instance,
        "workspace": attempt.req.workspace,
        "fingerprint": attempt.req.fingerprint,
        "key": attempt.claim_key(),
        "age_ms": now_ms.saturating_sub(attempt.submitted_at.as_millis()),
        "estimated_tokens": attempt.req.estimated_tokens,
        "produced_tokens": attempt.produced(),
        "solo": attempt.req.solo,
    })
}
