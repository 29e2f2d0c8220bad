//! Sizes of the messages between the processes.

use fuchsiabay_base::{AttemptId, Fingerprint, Generation, IdempotencyKey, Timestamp, Verdict};
use fuchsiabay_follow::{History, state_hash};
use fuchsiabay_wire::{
    ConfigPullReply, ConfigPullRequest, End, Frame, LoadReport, Priority, SubmitReply, SubmitRequest, Tokens,
    Work,
};
use serde::Serialize;
use serde_json::json;

use super::state::configuration;

fn load() -> LoadReport {
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

fn frame_bytes(frame: &Frame) -> usize {
    let mut buf = Vec::new();
    frame.encode(&mut buf).map_or(0, |()| buf.len())
}

fn call_bytes(method: &str, params: &impl Serialize, result: &impl Serialize) -> usize {
    let req = json!({ "jsonrpc": "2.0", "id": 1_000_000, "method": method, "params": [params] }).to_string();
    let reply = json!({ "jsonrpc": "2.0", "id": 1_000_000, "result": result }).to_string();
    frame_bytes(&Frame::Request(req)) + frame_bytes(&Frame::Response(reply))
}

/// Returns the bytes of each message, a call with its reply.
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
    let unchanged =
        ConfigPullReply { version: 1_000, age_ms: 400, reader: true, ..ConfigPullReply::default() };
    let before = configuration(9_800);
    let state = serde_json::to_value(&before).ok();
    let whole = ConfigPullReply { state, ..unchanged.clone() };
    let mut after = before.clone();
    after.version += 1;
    if let Some(workspace) = after.document.workspaces.values_mut().next() {
        workspace.weight = 2;
    }
    let mut history = History::default();
    history.record(&before, &after);
    let steps = history.since(before.version).unwrap_or_default();
    let step = ConfigPullReply { steps, state_hash: state_hash(&after), ..unchanged.clone() };
    let pull = ConfigPullRequest { have_version: 999 };
    let end = End {
        attempt: AttemptId(1_000_000),
        verdict: Verdict::Ran,
        total_tokens: 400,
        error: None,
        response: None,
    };
    let token = Tokens { attempt: AttemptId(1_000_000), first: 100, count: 1, text: b"token".to_vec() };
    vec![
        ("load poll and reply", call_bytes("load", &(), &load())),
        (
            "submit and reply, without the prompt",
            call_bytes("submit", &submit, &SubmitReply::Admitted { load: load() }),
        ),
        ("config pull and reply, unchanged", call_bytes("config_pull", &pull, &unchanged)),
        ("config pull and reply, 9800 workspaces, whole", call_bytes("config_pull", &pull, &whole)),
        ("config pull and reply, one of 9800 workspaces changed", call_bytes("config_pull", &pull, &step)),
        ("one token of 5 bytes", frame_bytes(&Frame::Tokens(token))),
        ("end of an attempt", frame_bytes(&Frame::End(Box::new(end)))),
    ]
}
