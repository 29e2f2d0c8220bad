//! Sends one request and judges the response.

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

/// How long after its deadline a request is given up.
const GRACE: Duration = Duration::from_secs(2);
/// The bytes at the start of each prompt that all requests of a workspace share.
const SHARED_PREFIX_LEN: usize = 192;

/// The client of a run.
pub(crate) struct LoadClient {
    http: Client,
    settings: LoadSettings,
    started_unix_ms: u64,
}

/// What the response looked like, before the times are added.
struct Received {
    outcome: Outcome,
    detail: String,
    first_token: Option<Instant>,
    tokens: u64,
    /// Nobody listens, so that the next entry instance may be asked.
    connection_refused: bool,
}

impl Received {
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

    /// Returns the key of a call that must run at most once.
    pub(crate) fn key(&self, request: &PlannedRequest) -> Option<String> {
        let RequestKind::Keyed { random, issued_ms } = request.kind else {
            return None;
        };
        let issued_at = Timestamp::from_millis(self.started_unix_ms + issued_ms);
        Some(IdempotencyKey::from_parts(issued_at, random).to_string())
    }

    /// Sends `request`, which was planned for `arrival`.
    pub(crate) async fn send(&self, request: &PlannedRequest, arrival: Instant) -> Observation {
        let limit = Duration::from_millis(self.settings.deadline_ms) + GRACE;
        let timeout = async {
            smol::Timer::after(limit).await;
            Received::new(Outcome::MayHaveRun, "no end within deadline and grace")
        };
        let received = self.exchange(request).or(timeout).await;
        Observation {
            outcome: received.outcome,
            detail: received.detail,
            first_token: received.first_token.map(|at| at.saturating_duration_since(arrival)),
            total: arrival.elapsed(),
            tokens: received.tokens,
        }
    }

    /// Tries the entry instances in turn until one accepts the connection, as the platform's load balancer does.
    async fn exchange(&self, request: &PlannedRequest) -> Received {
        let entries = self.settings.target.len();
        let mut step = 0;
        loop {
            let request = PlannedRequest { entry: (request.entry + step) % entries, ..request.clone() };
            let received = match request.kind {
                RequestKind::Chat { stream, max_tokens } => self.chat(&request, stream, max_tokens).await,
                RequestKind::LookUp | RequestKind::Keyed { .. } => self.plain(&request).await,
            };
            step += 1;
            if !received.connection_refused || step == entries {
                return received;
            }
        }
    }

    async fn chat(&self, request: &PlannedRequest, stream: bool, max_tokens: u32) -> Received {
        let prompt = self.prompt(request);
        let answer = TokenSequence::for_prompt(&prompt);
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
            return unsent(&error);
        }
        if let Some(refusal) = refusal(&mut conn).await {
            return refusal;
        }
        match (&self.settings.target, stream) {
            (Target::Direct { .. }, _) => receive_tokens(&mut conn, answer, max_tokens, direct_event).await,
            (_, true) => receive_tokens(&mut conn, answer, max_tokens, chat_event).await,
            (_, false) => receive_message(&mut conn, answer, max_tokens).await,
        }
    }

    async fn plain(&self, request: &PlannedRequest) -> Received {
        let base = match &self.settings.target {
            Target::Direct { service, .. } => service,
            Target::Entries(urls) => &urls[request.entry],
        };
        let key = self.key(request);
        let (method, path, body) = match key {
            Some(_) => ("POST", "/releases".to_owned(), format!("{{\"lot\":{}}}", request.content_id)),
            None => ("GET", format!("/lots/{}", request.content_id), String::new()),
        };
        let expected = service_response_body(method, &path, body.as_bytes());
        let mut conn = self.with_headers(self.http.build_conn(method, format!("{base}{path}")), request);
        if let Some(key) = key {
            conn = conn
                .with_request_header("idempotency-key", key)
                .with_request_header("content-type", "application/json")
                .with_body(body);
        }
        if let Err(error) = (&mut conn).await {
            return unsent(&error);
        }
        if let Some(refusal) = refusal(&mut conn).await {
            return refusal;
        }
        match conn.response_body().read_string().await {
            Ok(body) if body == expected => Received::new(Outcome::Answered, ""),
            Ok(body) if expected.starts_with(&body) => Received::new(Outcome::Truncated, body),
            Ok(body) => Received::new(Outcome::Wrong, body),
            Err(error) => Received::new(Outcome::MayHaveRun, error.to_string()),
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

/// Judges an error before the response head. Only a refused connection proves that nothing was sent.
fn unsent(error: &trillium_client::Error) -> Received {
    let refused =
        matches!(error, trillium_client::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused);
    let outcome = if refused { Outcome::RefusedNotRun } else { Outcome::MayHaveRun };
    Received { connection_refused: refused, ..Received::new(outcome, error.to_string()) }
}

/// Judges a response other than a success. Its detail is the title and detail of the problem body.
async fn refusal(conn: &mut Conn) -> Option<Received> {
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
    Some(Received::new(Outcome::of_verdict(verdict), detail))
}

/// What one line of an event stream says.
enum Event {
    Text(String),
    End,
    Failed,
    Nothing,
}

fn direct_event(data: &str) -> Event {
    #[derive(Deserialize)]
    struct Data<'a> {
        text: Option<&'a str>,
    }
    match serde_json::from_str::<Data<'_>>(data) {
        Ok(Data { text: Some(text) }) => Event::Text(text.to_owned()),
        Ok(_) => Event::End,
        Err(_) => Event::Failed,
    }
}

fn chat_event(data: &str) -> Event {
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
        return Event::Failed;
    };
    let content = data.choices.into_iter().find_map(|choice| choice.delta.content);
    content.map_or(Event::Nothing, Event::Text)
}

async fn receive_tokens(
    conn: &mut Conn,
    answer: TokenSequence,
    max_tokens: u32,
    parse: impl Fn(&str) -> Event,
) -> Received {
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
            Event::Failed => failed = true,
            Event::Nothing => {}
        }
    };
    let comparison = answer.compare(&text, max_tokens);
    let outcome = match (failed, ended) {
        (true, _) => Outcome::of_broken(comparison),
        (false, true) => Outcome::of_complete(comparison),
        // A clean end without the end mark looks complete to a caller that does not look for the mark.
        (false, false) if comparison == TextMatch::Mismatch => Outcome::Wrong,
        (false, false) => Outcome::Truncated,
    };
    let detail = if outcome == Outcome::Answered { detail } else { describe(detail, &text, max_tokens) };
    let tokens = (text.len() / TOKEN_LEN) as u64;
    Received { first_token, tokens, ..Received::new(outcome, detail) }
}

async fn receive_message(conn: &mut Conn, answer: TokenSequence, max_tokens: u32) -> Received {
    let body = match conn.response_body().read_string().await {
        Ok(body) => body,
        Err(error) => return Received::new(Outcome::MayHaveRun, error.to_string()),
    };
    let value: Value = serde_json::from_str(&body).unwrap_or_default();
    let Some(text) = value["choices"][0]["message"]["content"].as_str() else {
        return Received::new(Outcome::Wrong, body);
    };
    let outcome = Outcome::of_complete(answer.compare(text, max_tokens));
    let detail = if outcome == Outcome::Answered { "" } else { text };
    Received { tokens: u64::from(max_tokens), ..Received::new(outcome, detail) }
}

fn describe(detail: String, text: &str, max_tokens: u32) -> String {
    format!("{detail} after {} of {max_tokens} tokens", text.len() / TOKEN_LEN)
}
