//! The routes of plain services.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, Verdict};
use fuchsiabay_config::{Route, WorkClass};
use fuchsiabay_runtime::monotonic_now;
use fuchsiabay_wire::Priority;
use trillium::{Conn, KnownHeaderName};

use crate::{
    call::Call,
    config_source::ConfigSource,
    entry::Entry,
    gate::Passed,
    headers::VERDICT_HEADER,
    job::{Job, JobWork},
    problem::Problem,
};

/// Calls of plain services count as this many tokens for the order of queues, by class.
const SHORT_CALL_TOKENS: u32 = 1;
const LONG_CALL_TOKENS: u32 = 1_000;

/// Serves a call of a plain service.
pub(crate) async fn serve<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    mut conn: Conn,
) -> Result<Conn, (Conn, Problem)> {
    let mut call = match prepare(entry, &mut conn).await {
        Ok(call) => call,
        Err(problem) => {
            entry.counters.count_verdict(Verdict::NotRun);
            return Err((conn, problem));
        }
    };
    let run = async move {
        let result = call.complete().await;
        result.map(|()| call.take_response())
    };
    match conn.cancel_on_disconnect(run).await {
        Some(Ok(Some(response))) => {
            let conn = conn
                .with_status(response.status)
                .with_response_header(VERDICT_HEADER, Verdict::Ran.as_str())
                .with_response_header(KnownHeaderName::ContentType, response.content_type);
            Ok(conn.with_body(response.body).halt())
        }
        Some(Err(failure)) => Err((conn, Problem::of_failure(&failure, monotonic_now()))),
        Some(Ok(None)) | None => Ok(conn.halt()),
    }
}

async fn prepare<C: ConfigSource>(entry: &Arc<Entry<C>>, conn: &mut Conn) -> Result<Box<Call<C>>, Problem> {
    let passed = entry.pass(conn.request_headers())?;
    let method = conn.method().as_str().to_owned();
    let target = conn.path_and_query().to_owned();
    if has_dot_segment(conn.path()) {
        return Err(Problem::bad_request("the path must not contain the segments . and .."));
    }
    let Some(route) = passed.config.document.route(&method, conn.path()) else {
        let detail = format!("The configuration has no route {method} {}.", conn.path());
        return Err(Problem::not_run(404, "unknown-route", "The route is unknown", detail));
    };
    if !route.idempotent && passed.headers.key.is_none() {
        let detail =
            "Calls of this route run at most once. The header Idempotency-Key must carry a UUID version 7.";
        return Err(Problem::not_run(400, "key-required", "An Idempotency-Key is required", detail));
    }
    let body = entry.read_body(conn).await?;
    let job = job(&passed, route, method, target, body);
    let suspect = entry.check_quarantine(&job.fingerprint, &passed.config)?;
    Ok(Call::start(entry, job, suspect))
}

/// Returns whether a service that resolves dot segments would serve another path than the one that was matched. The
/// route of that path may be one that runs at most once.
fn has_dot_segment(path: &str) -> bool {
    let is_dots =
        |segment: &str| matches!(segment.to_ascii_lowercase().replace("%2e", ".").as_str(), "." | "..");
    path.split(['/', '\\']).any(is_dots)
}

fn job(passed: &Passed, route: &Route, method: String, path: String, body: Vec<u8>) -> Job {
    let Passed { config, headers, received_at } = passed;
    let (priority, estimated_tokens) = match route.class {
        WorkClass::Short => (Priority::High, SHORT_CALL_TOKENS),
        WorkClass::Long => (Priority::Normal, LONG_CALL_TOKENS),
    };
    Job {
        config: Arc::clone(config),
        workspace: headers.workspace.clone(),
        service: route.service.clone(),
        idempotent: route.idempotent,
        key: headers.key,
        fingerprint: Fingerprint::of(&[
            headers.workspace.as_str().as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            &body,
        ]),
        prefix: None,
        priority,
        estimated_tokens,
        prompt_tokens: 0,
        deadline: headers.deadline.unwrap_or_else(|| received_at.plus_millis(route.default_deadline_ms.0)),
        work: JobWork::Plain { method, path, content_type: headers.content_type.clone(), body },
    }
}
