//! The handler of the routes of plain services.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, Verdict};
use fuchsiabay_config::{Route, WorkClass};
use fuchsiabay_runtime::monotonic_now;
use fuchsiabay_wire::Priority;
use trillium::{Conn, KnownHeaderName};

use crate::{
    config_source::ConfigSource,
    entry::Entry,
    headers::VERDICT_HEADER,
    problem_details::ProblemDetails,
    request::{Request, RequestWork},
    request_checks::RequestContext,
    request_driver::RequestDriver,
};

/// The cost estimate of a short call to a plain service, in tokens, by which agents order their queues.
const SHORT_CALL_TOKENS: u32 = 1;
/// The cost estimate of a long call to a plain service, in tokens.
const LONG_CALL_TOKENS: u32 = 1_000;

/// Serves a call to a plain service.
pub(crate) async fn serve<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    mut conn: Conn,
) -> Result<Conn, (Conn, ProblemDetails)> {
    let mut driver = match prepare(entry, &mut conn).await {
        Ok(driver) => driver,
        Err(problem) => {
            entry.counters.count_verdict(Verdict::NotRun);
            return Err((conn, problem));
        }
    };
    let run = async move {
        let result = driver.run_to_end().await;
        result.map(|()| driver.take_response())
    };
    match conn.cancel_on_disconnect(run).await {
        Some(Ok(Some(response))) => {
            let conn = conn
                .with_status(response.status)
                .with_response_header(VERDICT_HEADER, Verdict::Ran.as_str())
                .with_response_header(KnownHeaderName::ContentType, response.content_type);
            Ok(conn.with_body(response.body).halt())
        }
        Some(Err(failure)) => Err((conn, ProblemDetails::from_failure(&failure, monotonic_now()))),
        Some(Ok(None)) | None => Ok(conn.halt()),
    }
}

async fn prepare<C: ConfigSource>(
    entry: &Arc<Entry<C>>,
    conn: &mut Conn,
) -> Result<Box<RequestDriver<C>>, ProblemDetails> {
    let context = entry.accept(conn.request_headers())?;
    let method = conn.method().as_str().to_owned();
    let target = conn.path_and_query().to_owned();
    if has_dot_segment(conn.path()) {
        return Err(ProblemDetails::bad_request("the path must not contain the segments . and .."));
    }
    let Some(route) = context.config.document.route(&method, conn.path()) else {
        let detail = format!("The configuration has no route {method} {}.", conn.path());
        return Err(ProblemDetails::not_run(404, "unknown-route", "The route is unknown", detail));
    };
    if !route.idempotent && context.headers.key.is_none() {
        let detail =
            "Calls of this route run at most once. The header Idempotency-Key must carry a UUID version 7.";
        return Err(ProblemDetails::not_run(400, "key-required", "An Idempotency-Key is required", detail));
    }
    let body = entry.read_body(conn).await?;
    let request = build_request(&context, route, method, target, body);
    let suspect = entry.check_quarantine(&request.fingerprint, &context.config)?;
    Ok(RequestDriver::start(entry, request, suspect))
}

/// Returns whether the path has dot segments. A service that resolves them would serve a path other than the one that
/// matched the route, and that path may belong to a non-idempotent route.
fn has_dot_segment(path: &str) -> bool {
    let is_dots =
        |segment: &str| matches!(segment.to_ascii_lowercase().replace("%2e", ".").as_str(), "." | "..");
    path.split(['/', '\\']).any(is_dots)
}

fn build_request(
    context: &RequestContext,
    route: &Route,
    method: String,
    path: String,
    body: Vec<u8>,
) -> Request {
    let RequestContext { config, headers, received_at } = context;
    let (priority, estimated_tokens) = match route.class {
        WorkClass::Short => (Priority::High, SHORT_CALL_TOKENS),
        WorkClass::Long => (Priority::Normal, LONG_CALL_TOKENS),
    };
    Request {
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
        work: RequestWork::Plain { method, path, content_type: headers.content_type.clone(), body },
    }
}
