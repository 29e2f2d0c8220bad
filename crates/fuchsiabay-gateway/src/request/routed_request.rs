//! Routes and authenticates a request before it is sent to a server.

use std::sync::Arc;

use fuchsiabay_balancer::{
    ExpectedStream, IndexedConfig, Job, KeyCheck, Route, RouteKind, Suspect, Workspace,
};
use fuchsiabay_base::{InstanceId, Timestamp};
use fuchsiabay_runtime::monotonic_now;
use futures_lite::FutureExt;

use super::{request_id, stated_deadline_ms};
use crate::{
    backend::OutgoingRequest,
    caller::{Interrupt, LocalResponse, until_interrupted},
    gateway::Gateway,
    http::{BufferedSocket, RequestHead},
    shard::ServiceShard,
};

/// `Retry-After` of an instance that has no configuration yet, or no target for the route, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 500;

/// `Retry-After` of an instance that is shutting down, in milliseconds. It is short, because another instance accepts the
/// next connection.
pub(super) const STOPPING_RETRY_MS: u64 = 100;

/// The minimum time between the refusal of a queued request and its caller's deadline, in milliseconds. After the deadline
/// the caller would not learn that the request did not run.
const RESPONSE_MARGIN_MS: u64 = 250;

/// The highest priority value that engines accept. The range is 0 to 9.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// A request that matches a route of the configuration and is authorized for it.
pub(super) struct RoutedRequest<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) head: &'a RequestHead,
    pub(super) request_id: &'a str,
    pub(super) arrived: Timestamp,
    /// When the caller must have received the whole response.
    pub(super) deadline: Timestamp,
    pub(super) config: Arc<IndexedConfig>,
    pub(super) route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    pub(super) shard: Arc<ServiceShard>,
    /// What the request has in common with others and may crash servers.
    pub(super) suspects: Vec<Suspect>,
    tokens: ExpectedTokens,
    /// The time that the caller spent on earlier attempts, as inferred from its stated deadline, in milliseconds.
    spent_ms: u64,
}

impl<'a> RoutedRequest<'a> {
    /// Finds the route, checks the key and selects the service.
    pub(super) fn new(
        gateway: &'a Gateway,
        head: &'a RequestHead,
        body: &[u8],
        arrived: Timestamp,
    ) -> Result<Self, LocalResponse> {
        let Some(config) = gateway.config() else {
            return Err(LocalResponse::unavailable("no_configuration", NOT_READY_RETRY_MS));
        };
        let Some(route) = config.route(head.host(), head.path()).cloned() else {
            return Err(LocalResponse::rejected(404, "no_route"));
        };
        let workspace = match config.check_key(&route, bearer_key(head)) {
            KeyCheck::NotRequired => None,
            KeyCheck::Workspace(workspace) => Some(workspace),
            KeyCheck::Unknown => return Err(LocalResponse::rejected(401, "unknown_key")),
        };
        let Some(service) = route.choose_service(fastrand::u64(..)) else {
            return Err(LocalResponse::unavailable("no_target", NOT_READY_RETRY_MS));
        };
        let shard = gateway.shard(service);
        let stated_ms = stated_deadline_ms(gateway, head).unwrap_or(route.timeout_ms);
        let deadline = arrived.plus_millis(stated_ms.min(route.timeout_ms));
        if gateway.drain().refuses(monotonic_now(), deadline) {
            return Err(LocalResponse::unavailable("stopping", STOPPING_RETRY_MS));
        }
        let spent_ms = gateway.longest_deadlines().elapsed_since_first_attempt_ms(&route.name, stated_ms);
        let name = workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
        let whole = [name.as_bytes(), head.method.as_bytes(), head.target.as_bytes(), body];
        let mut suspects = Suspect::request(service, &whole).to_vec();
        suspects.extend(Suspect::prompt_parts(service, prompt_parts(gateway, head)));
        let tokens = expected_tokens(gateway, head);
        let request_id = request_id(gateway, head);
        Ok(Self {
            gateway,
            head,
            request_id,
            arrived,
            deadline,
            config,
            route,
            workspace,
            shard,
            suspects,
            tokens,
            spent_ms,
        })
    }

    /// Returns the request to send to servers.
    pub(super) fn outgoing(&self, body: Vec<u8>) -> OutgoingRequest {
        let workspace = self.workspace.as_ref().map(|workspace| workspace.name.as_str());
        let priority = self.route.kind.is_stream().then(|| self.priority().min(MAX_ENGINE_PRIORITY));
        OutgoingRequest::new(self.head, body, self.gateway.settings.header_names, workspace, priority)
    }

    /// Returns the job to submit to the pool.
    pub(super) fn job(&self, excluded: &[InstanceId], is_resumption: bool) -> Job {
        Job {
            workspace: self.workspace.clone(),
            priority: self.priority(),
            goal_at: self.arrived.plus_millis(self.route.goal_ms).minus_millis(self.spent_ms),
            deadline: self.queue_deadline(is_resumption),
            tokens: self.tokens.prompt.saturating_add(self.tokens.output),
            stream: self.route.kind.is_stream().then(|| self.expected_stream()),
            is_caller_retry: self.spent_ms > 0,
            is_resumption,
            excluded: excluded.to_vec(),
        }
    }

    fn expected_stream(&self) -> ExpectedStream {
        ExpectedStream {
            output_tokens: self.tokens.output,
            ends_by: self.deadline,
            patience_ms: self.route.patience_ms,
        }
    }

    /// Returns the time until which the request may wait in the queue. A response that begins after the caller's deadline is
    /// useless.
    fn queue_deadline(&self, is_resumption: bool) -> Timestamp {
        match self.route.patience_ms {
            Some(ms) if !is_resumption => {
                self.deadline.min(self.arrived.plus_millis(ms)).minus_millis(RESPONSE_MARGIN_MS)
            }
            Some(ms) => self.deadline.min(monotonic_now().plus_millis(ms)),
            None => self.deadline,
        }
    }

    /// Runs `work` until it completes, the caller on `socket` disconnects, the deadline passes, or this instance stops.
    pub(super) async fn until_interrupted<T>(
        &self,
        socket: &mut BufferedSocket,
        work: impl Future<Output = T>,
    ) -> Result<T, Interrupt> {
        let work = async { Ok(work.await) };
        let stopping = self.gateway.drain().ended(Interrupt::Stopping);
        until_interrupted(socket, self.deadline, work.or(stopping)).await?
    }

    /// Returns whether the caller's connection stays open after the response.
    pub(super) fn keeps_alive(&self) -> bool {
        self.head.keeps_alive && !self.gateway.is_draining()
    }

    pub(super) fn kind(&self) -> RouteKind {
        self.route.kind
    }

    /// Returns the parts of the prompt as the caller stated them.
    pub(super) fn prompt_parts(&self) -> &str {
        prompt_parts(self.gateway, self.head)
    }

    fn priority(&self) -> u8 {
        self.workspace.as_ref().and_then(|workspace| workspace.priority).unwrap_or(self.route.priority)
    }
}

fn bearer_key(head: &RequestHead) -> Option<&str> {
    let (scheme, key) = head.headers.get("authorization")?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn prompt_parts<'a>(gateway: &Gateway, head: &'a RequestHead) -> &'a str {
    head.headers.get(gateway.settings.header_names.prompt_parts).unwrap_or_default()
}

/// The expected number of tokens of a request.
#[derive(Clone, Copy, Debug, Default)]
struct ExpectedTokens {
    prompt: u64,
    /// The output that the request is likely to generate.
    output: u64,
}

/// Returns the expected number of tokens of the request.
fn expected_tokens(gateway: &Gateway, head: &RequestHead) -> ExpectedTokens {
    let header_names = gateway.settings.header_names;
    let parse = |text: &str| text.trim().parse::<u64>().ok();
    let Some((prompt, max_output)) =
        head.headers.get(header_names.token_count).and_then(|value| value.split_once(','))
    else {
        return ExpectedTokens::default();
    };
    let max_output = parse(max_output).unwrap_or(0);
    let hint = head.headers.get(header_names.length_hint).and_then(parse);
    let output = hint.map_or(max_output, |hint| hint.min(max_output));
    ExpectedTokens { prompt: parse(prompt).unwrap_or(0), output }
}
