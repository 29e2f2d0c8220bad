//! Encodes requests for backend servers.

use std::io::Write;

use fuchsiabay_base::InstanceId;

use crate::{
    HeaderNames,
    http::{Headers, RequestHead},
};

/// Header fields that are not forwarded: hop-by-hop fields, and `Content-Length`, which is set again.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// A request to a backend server, without the fields that differ between attempts.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    /// The request line and the header fields that all attempts share.
    head: Vec<u8>,
    body: Vec<u8>,
    has_body: bool,
    header_names: &'static HeaderNames,
    pub(crate) is_head_request: bool,
    pub(crate) request_id: String,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub(crate) last_event_id: Option<String>,
}

impl OutgoingRequest {
    /// Copies the end-to-end header fields of `head`. A workspace that the caller stated is dropped and `workspace` is set
    /// instead.
    pub(crate) fn new(
        head: &RequestHead,
        body: Vec<u8>,
        header_names: &'static HeaderNames,
        workspace: Option<&str>,
        priority: Option<u8>,
    ) -> Self {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(head.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(head.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in head.headers.iter() {
            if is_forwarded(name, &head.headers, header_names) {
                push_field(&mut out, name, value);
            }
        }
        if let Some(workspace) = workspace {
            push_field(&mut out, header_names.workspace, workspace.as_bytes());
        }
        if let Some(priority) = priority {
            push_field(&mut out, header_names.priority, priority.to_string().as_bytes());
        }
        Self {
            head: out,
            has_body: !body.is_empty() || head.method != "GET" && head.method != "HEAD",
            body,
            header_names,
            is_head_request: head.method == "HEAD",
            request_id: head.headers.get(header_names.request_id).unwrap_or_default().to_owned(),
            last_event_id: head.headers.get("last-event-id").map(str::to_owned),
        }
    }

    /// Encodes the request for an attempt at `server`.
    pub(crate) fn encode(&self, server: &InstanceId, left_ms: u64, last_event_id: Option<&str>) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.len() + self.body.len() + 160);
        out.extend_from_slice(&self.head);
        let header_names = self.header_names;
        let written = write!(
            out,
            "{}: {left_ms}\r\n{}: {server}\r\n",
            header_names.deadline_ms, header_names.expected_server
        );
        debug_assert!(written.is_ok(), "writing to a vector does not fail");
        if let Some(id) = last_event_id {
            push_field(&mut out, "Last-Event-Id", id.as_bytes());
        }
        if self.has_body {
            push_field(&mut out, "Content-Length", self.body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

fn is_forwarded(name: &str, headers: &Headers, header_names: &HeaderNames) -> bool {
    let is = |other: &str| name.eq_ignore_ascii_case(other);
    let is_replaced = is(header_names.workspace)
        || is(header_names.expected_server)
        || is(header_names.deadline_ms)
        || is(header_names.priority)
        || is("last-event-id")
        || is("authorization")
        || is("expect");
    if is_replaced || NOT_FORWARDED.iter().any(|other| is(other)) {
        return false;
    }
    // Fields that the deployment relies on are forwarded even if the caller lists them in `Connection`.
    let is_required = is("host")
        || is(header_names.request_id)
        || is(header_names.model)
        || is(header_names.token_count)
        || is(header_names.prompt_parts)
        || is(header_names.length_hint);
    is_required || !headers.contains_token("connection", name)
}

fn push_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
