//! The handler of `POST /v1/chat/completions`.

use std::{io, sync::Arc};

use fuchsiabay_base::{Fingerprint, Timestamp, Verdict};
use fuchsiabay_config::ServiceKind;
use fuchsiabay_runtime::{monotonic_now, unix_now};
use fuchsiabay_wire::Priority;
use futures_lite::stream;
use trillium::{Body, Conn, KnownHeaderName};

use crate::{
    chat_request::{ChatRequest, estimate_tokens, prefix_hash},
    chat_writer::{ChatWriter, Usage},
    config_source::ConfigSource,
    entry::Entry,
    headers::VERDICT_HEADER,
    problem_details::ProblemDetails,
    request::{Request, RequestWork},
    request_checks::RequestContext,
    request_driver::{Output, RequestDriver},
    stream_body::StreamBody,
};

/// The path of chat completions.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// Serves a chat completion.
pub(crate) async fn serve<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    mut conn: Conn,
) -> Result<Conn, (Conn, ProblemDetails)> {
    let prepared = prepare(entry, &mut conn).await;
    let (driver, writer, chat_request) = match prepared {
        Ok(prepared) => prepared,
        Err(problem) => {
            entry.counters.count_verdict(Verdict::NotRun);
            return Err((conn, problem));
        }
    };
    if chat_request.stream {
        serve_stream(conn, driver, writer, chat_request.include_usage()).await
    } else {
        serve_buffered(conn, driver, writer).await
    }
}

async fn prepare<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    conn: &mut Conn,
) -> Result<(Box<RequestDriver<C>>, ChatWriter, ChatRequest), ProblemDetails> {
    let context = entry.accept(conn.request_headers())?;
    let body = entry.read_body(conn).await?;
    let chat_request = ChatRequest::parse(&body)?;
    let request = build_request(&context, &chat_request, &body)?;
    let suspect = entry.check_quarantine(&request.fingerprint, &context.config)?;
    entry.charge(&context, request.estimated_tokens)?;
    let writer = writer(entry, &chat_request, unix_now());
    Ok((RequestDriver::start(entry, request, suspect), writer, chat_request))
}

fn writer<C: ConfigSource>(entry: &Entry<C>, chat_request: &ChatRequest, created: Timestamp) -> ChatWriter {
    ChatWriter::new(
        entry.identity.instance.as_str(),
        entry.next_completion_number(),
        &chat_request.model,
        created,
    )
}

fn build_request(
    context: &RequestContext,
    chat_request: &ChatRequest,
    body: &[u8],
) -> Result<Request, ProblemDetails> {
    let RequestContext { config, headers, received_at } = context;
    let service = config.document.services.get_key_value(chat_request.model.as_str());
    let Some((service, _)) = service.filter(|(_, service)| service.kind == ServiceKind::Model) else {
        let detail = format!("The configuration has no model {}.", chat_request.model);
        return Err(ProblemDetails::not_run(404, "unknown-model", "The model is unknown", detail));
    };
    let max_tokens = chat_request.output_limit(config.preset.max_output_tokens)?;
    let prompt = chat_request.prompt();
    let prompt_tokens = estimate_tokens(&prompt);
    let estimated_tokens = prompt_tokens.saturating_add(max_tokens);
    // Long work has a lower priority, because callers of short work are waiting for the response.
    let priority =
        if estimated_tokens > config.preset.long_work_tokens { Priority::Low } else { Priority::Normal };
    Ok(Request {
        config: Arc::clone(config),
        workspace: headers.workspace.clone(),
        service: service.clone(),
        idempotent: true,
        key: headers.key,
        fingerprint: Fingerprint::of(&[headers.workspace.as_str().as_bytes(), CHAT_PATH.as_bytes(), body]),
        prefix: prefix_hash(service.as_str(), &prompt),
        priority,
        estimated_tokens,
        prompt_tokens,
        deadline: headers
            .deadline
            .unwrap_or_else(|| received_at.plus_millis(config.preset.default_deadline_ms.0)),
        work: RequestWork::Generate { prompt, max_tokens },
    })
}

async fn serve_buffered<C: ConfigSource>(
    mut conn: Conn,
    mut driver: Box<RequestDriver<C>>,
    writer: ChatWriter,
) -> Result<Conn, (Conn, ProblemDetails)> {
    let run = async move {
        let result = driver.run_to_end().await;
        (driver, result)
    };
    match conn.cancel_on_disconnect(run).await {
        Some((driver, Ok(()))) => {
            let body = writer.body(driver.text(), finish_reason(&driver), usage(&driver));
            let conn = conn.with_response_header(KnownHeaderName::ContentType, "application/json");
            Ok(conn.with_response_header(VERDICT_HEADER, Verdict::Ran.as_str()).ok(body))
        }
        Some((_, Err(failure))) => Err((conn, ProblemDetails::from_failure(&failure, monotonic_now()))),
        None => Ok(conn.halt()),
    }
}

async fn serve_stream<C: ConfigSource>(
    mut conn: Conn,
    mut driver: Box<RequestDriver<C>>,
    writer: ChatWriter,
    include_usage: bool,
) -> Result<Conn, (Conn, ProblemDetails)> {
    // The response starts with the first token, so that an earlier failure still gets a status code of its own.
    let run = async move {
        let first = driver.next_output().await;
        (driver, first)
    };
    let (driver, first) = match conn.cancel_on_disconnect(run).await {
        Some((_, Output::Failed(failure))) => {
            return Err((conn, ProblemDetails::from_failure(&failure, monotonic_now())));
        }
        Some(started) => started,
        None => return Ok(conn.halt()),
    };
    let stream = ChatStream { driver, writer, include_usage, first: Some(first), phase: Phase::Running };
    let bufs = stream::unfold(stream, |mut stream| async move {
        let buf = stream.next_buf().await?;
        Some((buf, stream))
    });
    let conn = conn
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_response_header(KnownHeaderName::CacheControl, "no-store")
        .with_response_header(VERDICT_HEADER, Verdict::Ran.as_str());
    Ok(conn.ok(Body::new_streaming(StreamBody::new(bufs), None)))
}

enum Phase {
    Running,
    Aborting,
    Done,
}

/// The state of the body of a streamed completion.
struct ChatStream<C: ConfigSource> {
    driver: Box<RequestDriver<C>>,
    writer: ChatWriter,
    include_usage: bool,
    first: Option<Output>,
    phase: Phase,
}

impl<C: ConfigSource> ChatStream<C> {
    async fn next_buf(&mut self) -> Option<io::Result<Vec<u8>>> {
        match self.phase {
            Phase::Running => {}
            // An error aborts the connection without the last chunk, so that no client takes the response for complete.
            // When a body fails, the HTTP server drops unflushed data; it flushes when the body is pending.
            Phase::Aborting => {
                self.phase = Phase::Done;
                futures_lite::future::yield_now().await;
                return Some(Err(io::Error::other("the response is truncated")));
            }
            Phase::Done => return None,
        }
        let output = match self.first.take() {
            Some(output) => output,
            None => self.driver.next_output().await,
        };
        let mut buf = Vec::new();
        match output {
            Output::Text { from } => self.writer.write_text(&self.driver.text()[from..], &mut buf),
            Output::Finished => {
                let usage = self.include_usage.then(|| usage(&self.driver));
                self.writer.write_end(finish_reason(&self.driver), usage, &mut buf);
                self.phase = Phase::Done;
            }
            Output::Failed(failure) => {
                let problem = ProblemDetails::from_failure(&failure, monotonic_now());
                buf.extend_from_slice(format!("event: error\ndata: {}\n\n", problem.body()).as_bytes());
                self.phase = Phase::Aborting;
            }
        }
        Some(Ok(buf))
    }
}

fn usage<C: ConfigSource>(driver: &RequestDriver<C>) -> Usage {
    Usage { prompt_tokens: driver.request().prompt_tokens, completion_tokens: driver.token_count() }
}

fn finish_reason<C: ConfigSource>(driver: &RequestDriver<C>) -> &'static str {
    match driver.request().work {
        RequestWork::Generate { max_tokens, .. } if driver.token_count() >= max_tokens => "length",
        _ => "stop",
    }
}
