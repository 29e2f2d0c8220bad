//! Responses that the entry instance generates itself.

use std::{fmt::Write, time::Duration};

use fuchsiabay_base::Verdict;

/// A response that does not come from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    /// The status code.
    pub(crate) status: u16,
    /// The reason for logs, metric labels and the body.
    pub(crate) reason: &'static str,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// When the caller should retry.
    pub(crate) retry_after: Option<Duration>,
}

impl LocalResponse {
    /// Refuses a request that did not run and will not be run. The caller may retry it.
    pub(crate) fn unavailable(reason: &'static str, retry_after_ms: u64) -> Self {
        let retry_after = Some(Duration::from_millis(retry_after_ms));
        Self { status: 503, reason, verdict: Verdict::NotRun, retry_after }
    }

    /// Rejects an invalid or unauthorized request. A retry would be rejected too.
    pub(crate) const fn rejected(status: u16, reason: &'static str) -> Self {
        Self { status, reason, verdict: Verdict::NotRun, retry_after: None }
    }

    /// Reports that no server sent a valid response.
    pub(crate) const fn bad_gateway(reason: &'static str, verdict: Verdict) -> Self {
        Self { status: 502, reason, verdict, retry_after: None }
    }

    /// Reports that the deadline passed after the request was sent.
    pub(crate) const fn gateway_timeout(verdict: Verdict) -> Self {
        Self { status: 504, reason: "timeout", verdict, retry_after: None }
    }

    /// Encodes the response. `is_head` omits the body, for a response to a HEAD request.
    pub(crate) fn encode(
        &self,
        request_id: Option<(&str, &str)>,
        keep_alive: bool,
        is_head: bool,
    ) -> Vec<u8> {
        let reason_phrase = reason_phrase(self.status);
        let body = format!(
            "{{\"status\":{},\"title\":\"{reason_phrase}\",\"detail\":\"{}\",\"verdict\":\"{}\"}}\n",
            self.status, self.reason, self.verdict
        );
        let mut out = format!("HTTP/1.1 {} {reason_phrase}\r\n", self.status);
        if let Some((name, id)) = request_id {
            push_header(&mut out, name, id);
        }
        push_header(&mut out, "Content-Type", "application/problem+json");
        push_header(&mut out, "Fuchsiabay-Verdict", self.verdict.as_str());
        if let Some(after) = self.retry_after {
            push_header(&mut out, "Retry-After", &format!("{:.3}", after.as_secs_f64()));
        }
        if !keep_alive {
            push_header(&mut out, "Connection", "close");
        }
        push_header(&mut out, "Content-Length", &body.len().to_string());
        out.push_str("\r\n");
        if !is_head {
            out.push_str(&body);
        }
        out.into_bytes()
    }
}

fn push_header(out: &mut String, name: &str, value: &str) {
    let written = write!(out, "{name}: {value}\r\n");
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
