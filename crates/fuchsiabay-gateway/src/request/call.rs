//! What is known of a request before it is sent anywhere.

use std::sync::Arc;

use fuchsiabay_balancer::{IndexedConfig, Job, KeyCheck, Route, RouteKind, Workspace};
use fuchsiabay_base::{Fingerprint, InstanceId, Timestamp};
use fuchsiabay_runtime::monotonic_now;

use super::{request_id, stated_deadline_ms};
use crate::{
    backend::OutgoingRequest, caller::OwnResponse, gateway::Gateway, http::RequestHead, shard::ServiceShard,
};

/// When a caller should come back to an instance that knows no configuration yet, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 500;

/// When a caller should come back after an instance that is about to stop refused it, in milliseconds. Another instance
/// takes the connection then.
const STOPPING_RETRY_MS: u64 = 100;

/// The time before a caller leaves at which it is answered at the latest, in milliseconds. Otherwise it never learns that the
/// request did not run.
const ANSWER_MARGIN_MS: u64 = 250;

/// The engine's rank for streams of the first priority. Engines take 0 to 9.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// A request that the configuration allows.
pub(super) struct Call<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) head: &'a RequestHead,
    pub(super) request_id: &'a str,
    pub(super) arrived: Timestamp,
    /// When the caller must have its last byte.
    pub(super) end_at: Timestamp,
    pub(super) serving: Arc<IndexedConfig>,
    pub(super) route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    pub(super) shard: Arc<ServiceShard>,
    pub(super) fingerprint: Fingerprint,
    tokens: u64,
    /// The part of its time that the caller has spent on earlier attempts, in milliseconds.
    spent_ms: u64,
}

impl<'a> Call<'a> {
    /// Finds the route, then checks the key.
    pub(super) fn new(
        gateway: &'a Gateway,
        head: &'a RequestHead,
        body: &[u8],
        arrived: Timestamp,
    ) -> Result<Self, OwnResponse> {
        if gateway.drain().refuses(arrived) {
            return Err(OwnResponse::unavailable("stopping", STOPPING_RETRY_MS));
        }
        let Some(serving) = gateway.serving() else {
            return Err(OwnResponse::unavailable("no_configuration", NOT_READY_RETRY_MS));
        };
        let Some(route) = serving.route(head.host(), head.path()).cloned() else {
            return Err(OwnResponse::rejected(404, "no_route"));
        };
        let workspace = match serving.check_key(&route, bearer_key(head)) {
            KeyCheck::Open => None,
            KeyCheck::Workspace(workspace) => Some(workspace),
            KeyCheck::Unknown => return Err(OwnResponse::rejected(401, "unknown_key")),
        };
        let Some(service) = route.choose_service(fastrand::u64(..)) else {
            return Err(OwnResponse::unavailable("no_target", NOT_READY_RETRY_MS));
        };
        let shard = gateway.shard(service);
        let stated_ms = stated_deadline_ms(gateway, head).unwrap_or(route.timeout_ms);
        let end_at = arrived.plus_millis(stated_ms.min(route.timeout_ms));
        let spent_ms = gateway.usual_deadlines().spent_ms(&route.name, stated_ms);
        let name = workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
        let parts = [name.as_bytes(), head.method.as_bytes(), head.target.as_bytes(), body];
        let fingerprint = Fingerprint::of(&parts);
        let tokens = expected_tokens(gateway, head);
        let request_id = request_id(gateway, head);
        Ok(Self {
            gateway,
            head,
            request_id,
            arrived,
            end_at,
            serving,
            route,
            workspace,
            shard,
            fingerprint,
            tokens,
            spent_ms,
        })
    }

    /// Returns the request as servers get it.
    pub(super) fn outgoing(&self, body: Vec<u8>) -> OutgoingRequest {
        let workspace = self.workspace.as_ref().map(|workspace| workspace.name.as_str());
        let priority = self.route.kind.is_stream().then(|| self.priority().min(MAX_ENGINE_PRIORITY));
        OutgoingRequest::new(self.head, body, self.gateway.settings.dialect, workspace, priority)
    }

    /// Returns the job for the pool.
    pub(super) fn job(&self, excluded: &[InstanceId], is_resumption: bool) -> Job {
        Job {
            priority: self.priority(),
            goal_at: self.arrived.plus_millis(self.route.goal_ms).minus_millis(self.spent_ms),
            deadline: self.wait_until(is_resumption),
            tokens: self.tokens,
            is_caller_retry: self.spent_ms > 0,
            is_resumption,
            excluded: excluded.to_vec(),
        }
    }

    /// Returns until when the request may wait for a place. Nobody reads a response that begins after the caller has left.
    fn wait_until(&self, is_resumption: bool) -> Timestamp {
        match self.route.patience_ms {
            Some(ms) if !is_resumption => {
                self.end_at.min(self.arrived.plus_millis(ms)).minus_millis(ANSWER_MARGIN_MS)
            }
            Some(ms) => self.end_at.min(monotonic_now().plus_millis(ms)),
            None => self.end_at,
        }
    }

    /// Returns whether the caller may send another request on the connection.
    pub(super) fn keeps_alive(&self) -> bool {
        self.head.keeps_alive && !self.gateway.is_draining()
    }

    pub(super) fn kind(&self) -> RouteKind {
        self.route.kind
    }

    fn priority(&self) -> u8 {
        self.workspace.as_ref().and_then(|workspace| workspace.priority).unwrap_or(self.route.priority)
    }
}

fn bearer_key(head: &RequestHead) -> Option<&str> {
    let (scheme, key) = head.headers.get("authorization")?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the tokens that the request is expected to hold at the end: its prompt and what it will probably generate.
fn expected_tokens(gateway: &Gateway, head: &RequestHead) -> u64 {
    let dialect = gateway.settings.dialect;
    let number = |text: &str| text.trim().parse::<u64>().ok();
    let Some((prompt, most)) = head.headers.get(dialect.token_count).and_then(|value| value.split_once(','))
    else {
        return 0;
    };
    let most = number(most).unwrap_or(0);
    let hint = head.headers.get(dialect.length_hint).and_then(number);
    number(prompt).unwrap_or(0) + hint.map_or(most, |hint| hint.min(most))
}
