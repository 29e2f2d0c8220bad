//! Sends a request and classifies the response.

use std::time::{Duration, Instant};

use fuchsiabay_base::{IdempotencyKey, Timestamp};
use futures_lite::{AsyncBufReadExt, FutureExt, io::BufReader};
use serde::Deserialize;
use serde_json::{Value, json};
use trillium_client::{Client, Conn};

use super::{
    LoadSettings, Target,
    outcome::{Observation, Outcome},
    plan::{PlannedRequest, RequestKind},
};
use crate::responses::{TOKEN_LEN, TextMatch, TokenSequence, service_response_body};

/// How long the client waits for a response after the deadline of its request.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// The minimum length, in bytes, of the prefix that all prompts of a workspace share.
const SHARED_PREFIX_LEN: usize = 192;

/// The HTTP client of a load run.
pub(crate) struct LoadClient {
    http: Client,
    settings: LoadSettings,
    started_unix_ms: u64,
}

/// The result of one attempt to send a request.
struct AttemptResult {
    outcome: Outcome,
    detail: String,
    first_token: Option<Instant>,
    tokens: u64,
    /// Nothing listens on the address, so the request can be sent to the next entry instance.
    connection_refused: bool,
}

impl AttemptResult {
    fn new(outcome: Outcome, detail: impl Into<String>) -> Self {
        Self { outcome, detail: detail.into(), first_token: None, tokens: 0, connection_refused: false }
    }
}

impl LoadClient {
    pub(crate) fn new(settings: LoadSettings, started_unix_ms: u64) -> Self {
        let connector = trillium_smol::ClientConfig::new().with_nodelay(true);
        Self { http: Client::new(connector), settings, started_unix_ms }
    }

    pub(crate) fn settings(&self) -> &LoadSettings {
        &self.settings
    }

    /// Returns the idempotency key of a call that must run at most once.
    pub(crate) fn idempotency_key(&self, request: &PlannedRequest) -> Option<String> {
        let RequestKind::Keyed { random, issued_ms } = request.kind else {
            return None;
        };
        let issued_at = Timestamp::from_millis(self.started_unix_ms + issued_ms);
        Some(IdempotencyKey::from_parts(issued_at, random).to_string())
    }

    /// Sends `request`, whose planned arrival time is `arrival`.
    pub(crate) async fn send(&self, request: &PlannedRequest, arrival: Instant) -> Observation {
        let timeout = Duration::from_millis(self.settings.deadline_ms) + DEADLINE_GRACE;
        let on_timeout = async {
            smol::Timer::after(timeout).await;
            AttemptResult::new(
                Outcome::MayHaveRun,
                "no complete response within the deadline and the grace period",
            )
        };
        let result = self.send_with_failover(request).or(on_timeout).await;
        Observation {
            outcome: result.outcome,
            detail: result.detail,
            time_to_first_token: result.first_token.map(|at| at.saturating_duration_since(arrival)),
            latency: arrival.elapsed(),
            tokens: result.tokens,
        }
    }

    /// Tries the entry instances in turn until one accepts the connection, as the platform's load balancer does.
    async fn send_with_failover(&self, request: &PlannedRequest) -> AttemptResult {
        let entry_count = self.settings.target.entry_count();
        let mut attempts = 0;
        loop {
            let request =
                PlannedRequest { entry: (request.entry + attempts) % entry_count, ..request.clone() };
            let result = match request.kind {
                RequestKind::Chat { stream, max_tokens } => {
                    self.send_chat(&request, stream, max_tokens).await
                }
                RequestKind::LookUp | RequestKind::Keyed { .. } => self.send_plain(&request).await,
            };
            attempts += 1;
            if !result.connection_refused || attempts == entry_count {
                return result;
            }
        }
    }

    async fn send_chat(&self, request: &PlannedRequest, stream: bool, max_tokens: u32) -> AttemptResult {
        let prompt = self.prompt(request);
        let expected = TokenSequence::for_prompt(&prompt);
        let (url, body) = match &self.settings.target {
            Target::Direct { engine, .. } => {
                let id = format!("{:x}", request.content_id);
                let body = json!({ "id": id, "prompt": prompt, "max_tokens": max_tokens });
                (format!("{engine}/v1/generate"), body)
            }
            Target::Entries(urls) => {
                let body = json!({
                    "model": self.settings.model,
                    "messages": [{ "role": "user", "content": prompt }],
                    "max_tokens": max_tokens,
                    "stream": stream,
                });
                (format!("{}/v1/chat/completions", urls[request.entry]), body)
            }
        };
        let mut conn = self
            .with_headers(self.http.post(url), request)
            .with_request_header("content-type", "application/json")
            .with_body(body.to_string());
        if let Err(error) = (&mut conn).await {
            return classify_send_error(&error);
        }
        if let Some(error_response) = read_error_response(&mut conn).await {
            return error_response;
        }
        match (&self.settings.target, stream) {
            (Target::Direct { .. }, _) => {
                receive_event_stream(&mut conn, expected, max_tokens, parse_engine_event).await
            }
            (_, true) => receive_event_stream(&mut conn, expected, max_tokens, parse_chat_event).await,
            (_, false) => receive_completion(&mut conn, expected, max_tokens).await,
        }
    }

    async fn send_plain(&self, request: &PlannedRequest) -> AttemptResult {
        let base_url = match &self.settings.target {
            Target::Direct { service, .. } => service,
            Target::Entries(urls) => &urls[request.entry],
        };
        let key = self.idempotency_key(request);
        let (method, path, body) = match key {
            Some(_) => ("POST", "/releases".to_owned(), format!("{{\"lot\":{}}}", request.content_id)),
            None => ("GET", format!("/lots/{}", request.content_id), String::new()),
        };
        let expected = service_response_body(method, &path, body.as_bytes());
        let mut conn = self.with_headers(self.http.build_conn(method, format!("{base_url}{path}")), request);
        if let Some(key) = key {
            conn = conn
                .with_request_header("idempotency-key", key)
                .with_request_header("content-type", "application/json")
                .with_body(body);
        }
        if let Err(error) = (&mut conn).await {
            return classify_send_error(&error);
        }
        if let Some(error_response) = read_error_response(&mut conn).await {
            return error_response;
        }
        match conn.response_body().read_string().await {
            Ok(body) if body == expected => AttemptResult::new(Outcome::Answered, ""),
            Ok(body) if expected.starts_with(&body) => AttemptResult::new(Outcome::Truncated, body),
            Ok(body) => AttemptResult::new(Outcome::Wrong, body),
            Err(error) => AttemptResult::new(Outcome::MayHaveRun, error.to_string()),
        }
    }

    fn with_headers(&self, conn: Conn, request: &PlannedRequest) -> Conn {
        conn.with_request_header("fuchsiabay-workspace", self.settings.workspaces[request.workspace].clone())
            .with_request_header("fuchsiabay-deadline-ms", self.settings.deadline_ms.to_string())
    }

    fn prompt(&self, request: &PlannedRequest) -> String {
        let mut prompt = format!("Workspace {}. ", self.settings.workspaces[request.workspace]);
        while prompt.len() < SHARED_PREFIX_LEN {
            prompt.push_str("Summarise the log of the drying chamber. ");
        }
        prompt.push_str(&TokenSequence::mark_subject(&format!("{:x}", request.content_id)));
        prompt
    }
}

/// Classifies an error that occurred before the response head was received. Only a refused connection proves that
/// nothing was sent.
fn classify_send_error(error: &trillium_client::Error) -> AttemptResult {
    let connection_refused =
        matches!(error, trillium_client::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused);
    let outcome = if connection_refused { Outcome::RefusedNotRun } else { Outcome::MayHaveRun };
    AttemptResult { connection_refused, ..AttemptResult::new(outcome, error.to_string()) }
}

/// Classifies a response whose status is not a success. Returns `None` for a success.
async fn read_error_response(conn: &mut Conn) -> Option<AttemptResult> {
    let status = conn.status()?;
    if status.is_success() {
        return None;
    }
    let verdict = conn.response_headers().get_str("fuchsiabay-verdict").map(str::to_owned);
    let body = conn.response_body().read_string().await.unwrap_or_default();
    let problem: Value = serde_json::from_str(&body).unwrap_or_default();
    let text = |field: &str| problem[field].as_str().unwrap_or_default().to_owned();
    let (title, detail) = (text("title"), text("detail"));
    let verdict = verdict.as_deref();
    let detail = format!("{status}, verdict {}: {title}: {detail}", verdict.unwrap_or("missing"));
    Some(AttemptResult::new(Outcome::from_verdict(verdict), detail))
}

/// One event of an event stream.
enum Event {
    Text(String),
    End,
    Invalid,
    NoContent,
}

fn parse_engine_event(data: &str) -> Event {
    #[derive(Deserialize)]
    struct Data<'a> {
        text: Option<&'a str>,
    }
    match serde_json::from_str::<Data<'_>>(data) {
        Ok(Data { text: Some(text) }) => Event::Text(text.to_owned()),
        Ok(_) => Event::End,
        Err(_) => Event::Invalid,
    }
}

fn parse_chat_event(data: &str) -> Event {
    #[derive(Deserialize)]
    struct Data {
        #[serde(default)]
        choices: Vec<Choice>,
    }
    #[derive(Deserialize)]
    struct Choice {
        #[serde(default)]
        delta: Delta,
    }
    #[derive(Default)]
    #[derive(Deserialize)]
    struct Delta {
        content: Option<String>,
    }
    if data == "[DONE]" {
        return Event::End;
    }
    let Ok(data) = serde_json::from_str::<Data>(data) else {
        return Event::Invalid;
    };
    let content = data.choices.into_iter().find_map(|choice| choice.delta.content);
    content.map_or(Event::NoContent, Event::Text)
}

async fn receive_event_stream(
    conn: &mut Conn,
    expected: TokenSequence,
    max_tokens: u32,
    parse: impl Fn(&str) -> Event,
) -> AttemptResult {
    let mut lines = BufReader::new(conn.response_body());
    let mut line = String::new();
    let mut text = String::new();
    let mut first_token = None;
    let (mut ended, mut failed) = (false, false);
    let detail = loop {
        line.clear();
        match lines.read_line(&mut line).await {
            Ok(0) => break String::new(),
            Ok(_) => {}
            Err(error) => {
                failed = true;
                break error.to_string();
            }
        }
        if line.starts_with("event: error") {
            failed = true;
            continue;
        }
        let Some(data) = line.trim_end().strip_prefix("data: ") else {
            continue;
        };
        if failed {
            break data.to_owned();
        }
        match parse(data) {
            Event::Text(token) => {
                first_token.get_or_insert_with(Instant::now);
                text.push_str(&token);
            }
            Event::End => ended = true,
            Event::Invalid => failed = true,
            Event::NoContent => {}
        }
    };
    let text_match = expected.compare(&text, max_tokens);
    let outcome = match (failed, ended) {
        (true, _) => Outcome::from_aborted_text(text_match),
        (false, true) => Outcome::from_complete_text(text_match),
        // Without the end marker, a clean end still looks complete to a caller that does not check for the marker.
        (false, false) if text_match == TextMatch::Mismatch => Outcome::Wrong,
        (false, false) => Outcome::Truncated,
    };
    let detail =
        if outcome == Outcome::Answered { detail } else { describe_partial(detail, &text, max_tokens) };
    let tokens = (text.len() / TOKEN_LEN) as u64;
    AttemptResult { first_token, tokens, ..AttemptResult::new(outcome, detail) }
}

async fn receive_completion(conn: &mut Conn, expected: TokenSequence, max_tokens: u32) -> AttemptResult {
    let body = match conn.response_body().read_string().await {
        Ok(body) => body,
        Err(error) => return AttemptResult::new(Outcome::MayHaveRun, error.to_string()),
    };
    let value: Value = serde_json::from_str(&body).unwrap_or_default();
    let Some(text) = value["choices"][0]["message"]["content"].as_str() else {
        return AttemptResult::new(Outcome::Wrong, body);
    };
    let outcome = Outcome::from_complete_text(expected.compare(text, max_tokens));
    let detail = if outcome == Outcome::Answered { "" } else { text };
    AttemptResult { tokens: u64::from(max_tokens), ..AttemptResult::new(outcome, detail) }
}

fn describe_partial(detail: String, text: &str, max_tokens: u32) -> String {
    format!("{detail} after {} of {max_tokens} tokens", text.len() / TOKEN_LEN)
}
