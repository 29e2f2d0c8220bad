//! Encodes the head of a server's response for the caller.

use crate::http::ResponseHead;

/// Header fields that are not forwarded: hop-by-hop fields, and `Content-Length`, which is set again.
const NOT_FORWARDED: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// How the body is framed on the caller's connection.
pub(super) enum BodyFraming {
    /// The body has this length.
    Length(usize),
    /// The body is chunked.
    Chunked,
    /// The status allows no body.
    None,
}

/// Encodes the status line and the end-to-end header fields of `head`.
pub(super) fn encode_head(head: &ResponseHead, framing: &BodyFraming, keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, reason_phrase(head.status)).as_bytes());
    for (name, value) in head.headers.iter() {
        if NOT_FORWARDED.iter().any(|other| name.eq_ignore_ascii_case(other)) {
            continue;
        }
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    match framing {
        BodyFraming::Length(length) => {
            out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes())
        }
        BodyFraming::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        BodyFraming::None => {}
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Response",
    }
}
