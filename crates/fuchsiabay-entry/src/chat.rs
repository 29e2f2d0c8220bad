//! `POST /v1/chat/completions`.

use std::{io, sync::Arc};

use fuchsiabay_base::{Fingerprint, Timestamp, Verdict};
use fuchsiabay_config::ServiceKind;
use fuchsiabay_runtime::{monotonic_now, unix_now};
use fuchsiabay_wire::Priority;
use futures_lite::stream;
use trillium::{Body, Conn, KnownHeaderName};

use crate::{
    call::{Call, Output},
    chat_request::{ChatRequest, estimate_tokens, prefix_hash},
    chat_writer::{ChatWriter, Usage},
    config_source::ConfigSource,
    entry::Entry,
    gate::Passed,
    headers::VERDICT_HEADER,
    job::{Job, JobWork},
    problem::Problem,
    stream_body::StreamBody,
};

/// The path of chat completions.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// Serves a chat completion.
pub(crate) async fn serve<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    mut conn: Conn,
) -> Result<Conn, (Conn, Problem)> {
    let prepared = prepare(entry, &mut conn).await;
    let (call, writer, req) = match prepared {
        Ok(prepared) => prepared,
        Err(problem) => {
            entry.counters.count_verdict(Verdict::NotRun);
            return Err((conn, problem));
        }
    };
    if req.stream {
        serve_stream(conn, call, writer, req.include_usage()).await
    } else {
        serve_whole(conn, call, writer).await
    }
}

async fn prepare<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    conn: &mut Conn,
) -> Result<(Box<Call<C>>, ChatWriter, ChatRequest), Problem> {
    let passed = entry.pass(conn.request_headers())?;
    let body = entry.read_body(conn).await?;
    let req = ChatRequest::parse(&body)?;
    let job = job(&passed, &req, &body)?;
    let suspect = entry.check_quarantine(&job.fingerprint, &passed.config)?;
    entry.charge(&passed, job.estimated_tokens)?;
    let writer = writer(entry, &req, unix_now());
    Ok((Call::start(entry, job, suspect), writer, req))
}

fn writer<C: ConfigSource>(entry: &Entry<C>, req: &ChatRequest, created: Timestamp) -> ChatWriter {
    ChatWriter::new(entry.identity.instance.as_str(), entry.next_request(), &req.model, created)
}

fn job(passed: &Passed, req: &ChatRequest, body: &[u8]) -> Result<Job, Problem> {
    let Passed { config, headers, received_at } = passed;
    let service = config.document.services.get_key_value(req.model.as_str());
    let Some((service, _)) = service.filter(|(_, service)| service.kind == ServiceKind::Model) else {
        let detail = format!("The configuration has no model {}.", req.model);
        return Err(Problem::not_run(404, "unknown-model", "The model is unknown", detail));
    };
    let max_tokens = req.output_limit(config.preset.max_output_tokens)?;
    let prompt = req.prompt();
    let prompt_tokens = estimate_tokens(&prompt);
    let estimated_tokens = prompt_tokens.saturating_add(max_tokens);
    // Long work gives way to short work, because callers of short work wait for it.
    let priority =
        if estimated_tokens > config.preset.long_work_tokens { Priority::Low } else { Priority::Normal };
    Ok(Job {
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
        work: JobWork::Generate { prompt, max_tokens },
    })
}

async fn serve_whole<C: ConfigSource>(
    mut conn: Conn,
    mut call: Box<Call<C>>,
    writer: ChatWriter,
) -> Result<Conn, (Conn, Problem)> {
    let run = async move {
        let result = call.complete().await;
        (call, result)
    };
    match conn.cancel_on_disconnect(run).await {
        Some((call, Ok(()))) => {
            let body = writer.body(call.text(), finish_reason(&call), usage(&call));
            let conn = conn.with_response_header(KnownHeaderName::ContentType, "application/json");
            Ok(conn.with_response_header(VERDICT_HEADER, Verdict::Ran.as_str()).ok(body))
        }
        Some((_, Err(failure))) => Err((conn, Problem::of_failure(&failure, monotonic_now()))),
        None => Ok(conn.halt()),
    }
}

async fn serve_stream<C: ConfigSource>(
    mut conn: Conn,
    mut call: Box<Call<C>>,
    writer: ChatWriter,
    include_usage: bool,
) -> Result<Conn, (Conn, Problem)> {
    // The response starts with the first token, so that a failure before it still has a status of its own.
    let run = async move {
        let first = call.next().await;
        (call, first)
    };
    let (call, first) = match conn.cancel_on_disconnect(run).await {
        Some((_, Output::Failed(failure))) => {
            return Err((conn, Problem::of_failure(&failure, monotonic_now())));
        }
        Some(started) => started,
        None => return Ok(conn.halt()),
    };
    let stream = ChatStream { call, writer, include_usage, first: Some(first), phase: Phase::Running };
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

/// The body of a streamed completion.
struct ChatStream<C: ConfigSource> {
    call: Box<Call<C>>,
    writer: ChatWriter,
    include_usage: bool,
    first: Option<Output>,
    phase: Phase,
}

impl<C: ConfigSource> ChatStream<C> {
    async fn next_buf(&mut self) -> Option<io::Result<Vec<u8>>> {
        match self.phase {
            Phase::Running => {}
            // An error aborts the connection without a last chunk, so that no client takes the answer for complete.
            // The server drops what it has not flushed when a body fails, and it flushes when the body is pending.
            Phase::Aborting => {
                self.phase = Phase::Done;
                futures_lite::future::yield_now().await;
                return Some(Err(io::Error::other("the answer is truncated")));
            }
            Phase::Done => return None,
        }
        let output = match self.first.take() {
            Some(output) => output,
            None => self.call.next().await,
        };
        let mut buf = Vec::new();
        match output {
            Output::Text { from } => self.writer.write_text(&self.call.text()[from..], &mut buf),
            Output::Finished => {
                let usage = self.include_usage.then(|| usage(&self.call));
                self.writer.write_end(finish_reason(&self.call), usage, &mut buf);
                self.phase = Phase::Done;
            }
            Output::Failed(failure) => {
                let problem = Problem::of_failure(&failure, monotonic_now());
                buf.extend_from_slice(format!("event: error\ndata: {}\n\n", problem.body()).as_bytes());
                self.phase = Phase::Aborting;
            }
        }
        Some(Ok(buf))
    }
}

fn usage<C: ConfigSource>(call: &Call<C>) -> Usage {
    Usage { prompt_tokens: call.job().prompt_tokens, completion_tokens: call.tokens() }
}

fn finish_reason<C: ConfigSource>(call: &Call<C>) -> &'static str {
    match call.job().work {
        JobWork::Generate { max_tokens, .. } if call.tokens() >= max_tokens => "length",
        _ => "stop",
    }
}
