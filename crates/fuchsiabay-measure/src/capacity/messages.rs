//! The size of the messages between processes, and the cost of token frames.

use fuchsiabay_base::{AttemptId, Fingerprint, Generation, IdempotencyKey, Timestamp, Verdict};
use fuchsiabay_follow::{ConfigHistory, state_hash};
use fuchsiabay_wire::{
    ConfigPullReply, ConfigPullRequest, End, Frame, FrameDecoder, LoadReport, Priority, SubmitReply,
    SubmitRequest, Tokens, Work,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::state::configuration;

fn load_report() -> LoadReport {
    LoadReport {
        generation: Generation(1_700_000_000_000),
        queued: 10,
        running: 16,
        slots: 16,
        outstanding_tokens: 20_000,
        predicted_wait_ms: 300,
        draining: false,
    }
}

/// Returns the encoded size of a frame in bytes.
fn frame_bytes(frame: &Frame) -> usize {
    let mut buf = Vec::new();
    frame.encode(&mut buf).map_or(0, |()| buf.len())
}

/// Returns the encoded size of a call and its reply in bytes.
fn call_bytes(method: &str, params: &impl Serialize, result: &impl Serialize) -> usize {
    let req = json!({ "jsonrpc": "2.0", "id": 1_000_000, "method": method, "params": [params] }).to_string();
    let reply = json!({ "jsonrpc": "2.0", "id": 1_000_000, "result": result }).to_string();
    frame_bytes(&Frame::Request(req)) + frame_bytes(&Frame::Response(reply))
}

fn token(i: u64) -> Tokens {
    Tokens { attempt: AttemptId(1_000_000), first: i as u32, count: 1, text: b"token".to_vec() }
}

/// The same token as a JSON-RPC notification, the alternative that the binary frame is compared with.
fn token_notification(token: &Tokens) -> Frame {
    let text = std::str::from_utf8(&token.text).unwrap_or_default();
    let params = (token.attempt, token.first, token.count, text);
    Frame::Request(json!({ "jsonrpc": "2.0", "method": "tokens", "params": params }).to_string())
}

/// Encodes a frame into `buf` and decodes it again.
fn encode_and_decode(frame: &Frame, decoder: &mut FrameDecoder, buf: &mut Vec<u8>) -> Option<Frame> {
    buf.clear();
    frame.encode(buf).ok()?;
    decoder.extend(buf);
    decoder.next_frame().ok().flatten()
}

/// Encodes and decodes `count` tokens as binary frames. Returns how many were decoded with the right position.
pub(crate) fn binary_tokens(count: u64) -> u64 {
    let (mut decoder, mut buf) = (FrameDecoder::default(), Vec::new());
    let decoded = (0..count).filter(|&i| {
        let frame = encode_and_decode(&Frame::Tokens(token(i)), &mut decoder, &mut buf);
        matches!(frame, Some(Frame::Tokens(token)) if token.first == i as u32)
    });
    decoded.count() as u64
}

/// Encodes and decodes `count` tokens as JSON-RPC notifications. Returns how many were decoded with the right position.
pub(crate) fn json_tokens(count: u64) -> u64 {
    let (mut decoder, mut buf) = (FrameDecoder::default(), Vec::new());
    let decoded = (0..count).filter(|&i| {
        let frame = encode_and_decode(&token_notification(&token(i)), &mut decoder, &mut buf);
        let Some(Frame::Request(text)) = frame else {
            return false;
        };
        let notification: Result<Notification, _> = serde_json::from_str(&text);
        notification.is_ok_and(|notification| notification.params.1 == i as u32)
    });
    decoded.count() as u64
}

#[derive(Deserialize)]
struct Notification {
    params: (AttemptId, u32, u16, String),
}

/// Returns the size of each message in bytes. Calls include their reply.
pub(crate) fn sizes() -> Vec<(&'static str, usize)> {
    let submit = SubmitRequest {
        attempt: AttemptId(1_000_000),
        workspace: "workspace-000001".into(),
        service: "model".into(),
        idempotent: true,
        key: Some(IdempotencyKey::from_parts(Timestamp::from_millis(1_700_000_000_000), 1)),
        fingerprint: Fingerprint::of(&[b"x"]),
        priority: Priority::Normal,
        estimated_tokens: 400,
        deadline_in_ms: 30_000,
        solo: false,
        config_version: 1_000,
        work: Work::Generate {
            prompt: String::new(),
            max_tokens: 400,
            resume_from: 0,
            resume_text: String::new(),
        },
    };
    let unchanged_reply =
        ConfigPullReply { version: 1_000, age_ms: 400, reader: true, ..ConfigPullReply::default() };
    let before = configuration(9_800);
    let state = serde_json::to_value(&before).ok();
    let full_state_reply = ConfigPullReply { state, ..unchanged_reply.clone() };
    let mut after = before.clone();
    after.version += 1;
    if let Some(workspace) = after.document.workspaces.values_mut().next() {
        workspace.weight = 2;
    }
    let mut history = ConfigHistory::default();
    history.record(&before, &after);
    let deltas = history.deltas_since(before.version).unwrap_or_default();
    let delta_reply = ConfigPullReply { deltas, state_hash: state_hash(&after), ..unchanged_reply.clone() };
    let pull_request = ConfigPullRequest { have_version: 999 };
    let end = End {
        attempt: AttemptId(1_000_000),
        verdict: Verdict::Ran,
        total_tokens: 400,
        error: None,
        response: None,
    };
    vec![
        ("load poll and reply", call_bytes("load", &(), &load_report())),
        (
            "submit and reply, without the prompt",
            call_bytes("submit", &submit, &SubmitReply::Admitted { load: load_report() }),
        ),
        ("config pull and reply, unchanged", call_bytes("config_pull", &pull_request, &unchanged_reply)),
        (
            "config pull and reply, 9800 workspaces, whole",
            call_bytes("config_pull", &pull_request, &full_state_reply),
        ),
        (
            "config pull and reply, one of 9800 workspaces changed",
            call_bytes("config_pull", &pull_request, &delta_reply),
        ),
        ("one token of 5 bytes", frame_bytes(&Frame::Tokens(token(100)))),
        ("one token of 5 bytes as JSON-RPC notification", frame_bytes(&token_notification(&token(100)))),
        ("end of an attempt", frame_bytes(&Frame::End(Box::new(end)))),
    ]
}
