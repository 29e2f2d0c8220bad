//! The headers that callers and the entry instance exchange.

use fuchsiabay_base::{IdempotencyKey, Timestamp, WorkspaceId};
use trillium::Headers;

use crate::problem_details::ProblemDetails;

/// The response header with the verdict: whether the request ran.
pub(crate) const VERDICT_HEADER: &str = "Fuchsiabay-Verdict";
const WORKSPACE_HEADER: &str = "Fuchsiabay-Workspace";
const DEADLINE_HEADER: &str = "Fuchsiabay-Deadline-Ms";
const KEY_HEADER: &str = "Idempotency-Key";
/// The longest deadline that a caller may set, in milliseconds: one day, as in the presets.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// The request headers that concern the entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerHeaders {
    pub(crate) workspace: WorkspaceId,
    pub(crate) deadline: Option<Timestamp>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) content_type: String,
}

impl CallerHeaders {
    /// Parses the headers of a request received at `now`.
    pub(crate) fn parse(headers: &Headers, max_headers: u32, now: Timestamp) -> Result<Self, ProblemDetails> {
        if headers.len() > max_headers as usize {
            let detail = format!("allowed: {max_headers} headers");
            return Err(ProblemDetails::not_run(
                431,
                "too-many-headers",
                "The request has too many headers",
                detail,
            ));
        }
        let Some(workspace) = headers.get_str(WORKSPACE_HEADER).filter(|name| !name.is_empty()) else {
            return Err(ProblemDetails::bad_request(format!("the header {WORKSPACE_HEADER} is required")));
        };
        let deadline = headers.get_str(DEADLINE_HEADER).map(parse_deadline).transpose()?;
        let key = headers.get_str(KEY_HEADER).map(parse_key).transpose()?;
        Ok(Self {
            workspace: workspace.into(),
            deadline: deadline.map(|ms| now.plus_millis(ms)),
            key,
            content_type: headers.get_str("Content-Type").unwrap_or_default().to_owned(),
        })
    }
}

fn parse_deadline(text: &str) -> Result<u64, ProblemDetails> {
    let ms = text.parse().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    ms.ok_or_else(|| {
        ProblemDetails::bad_request(format!("{DEADLINE_HEADER}: allowed: 1 to {MAX_DEADLINE_MS}"))
    })
}

fn parse_key(text: &str) -> Result<IdempotencyKey, ProblemDetails> {
    text.parse().map_err(|error| ProblemDetails::bad_request(format!("{KEY_HEADER}: {error}")))
}
