//! Serialization of chat completion responses.

use fuchsiabay_base::Timestamp;
use serde_json::{Value, json};

/// Serializes one completion, as the events of a stream or as a whole body.
///
/// The common prefix of all chunks is built once, so that a chunk costs two copies and the escaping of its text.
#[derive(Debug)]
pub(crate) struct ChatWriter {
    id: String,
    model: String,
    created: u64,
    prefix: Vec<u8>,
    role_sent: bool,
}

/// Token counts of a completion. Prompt tokens are an estimate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
}

const ROLE: &[u8] = br#""role":"assistant","#;
const CONTENT: &[u8] = br#""content":"#;
const SUFFIX: &[u8] = b"},\"finish_reason\":null}]}\n\n";

impl ChatWriter {
    /// Builds a writer for completion number `number` of `instance`.
    pub(crate) fn new(instance: &str, number: u64, model: &str, created: Timestamp) -> Self {
        let id = format!("chatcmpl-{instance}-{}-{number}", created.as_millis());
        let created = created.as_millis() / 1000;
        let head = json!({"id": id, "object": "chat.completion.chunk", "created": created, "model": model});
        let mut prefix = format!("data: {head}");
        prefix.truncate(prefix.len() - 1);
        prefix.push_str(r#","choices":[{"index":0,"delta":{"#);
        Self { id, model: model.to_owned(), created, prefix: prefix.into_bytes(), role_sent: false }
    }

    /// Appends a chunk with `text`.
    pub(crate) fn write_text(&mut self, text: &str, buf: &mut Vec<u8>) {
        buf.reserve(self.prefix.len() + ROLE.len() + CONTENT.len() + text.len() + SUFFIX.len() + 16);
        buf.extend_from_slice(&self.prefix);
        if !std::mem::replace(&mut self.role_sent, true) {
            buf.extend_from_slice(ROLE);
        }
        buf.extend_from_slice(CONTENT);
        // Writing a string to memory cannot fail.
        let _ = serde_json::to_writer(&mut *buf, text);
        buf.extend_from_slice(SUFFIX);
    }

    /// Appends the last chunks of a complete response.
    pub(crate) fn write_end(&self, finish_reason: &str, usage: Option<Usage>, buf: &mut Vec<u8>) {
        buf.extend_from_slice(&self.prefix);
        buf.extend_from_slice(format!("}},\"finish_reason\":\"{finish_reason}\"}}]}}\n\n").as_bytes());
        if let Some(usage) = usage {
            let chunk = json!({
                "id": self.id, "object": "chat.completion.chunk", "created": self.created, "model": self.model,
                "choices": [], "usage": usage.to_json(),
            });
            buf.extend_from_slice(format!("data: {chunk}\n\n").as_bytes());
        }
        buf.extend_from_slice(b"data: [DONE]\n\n");
    }

    /// Returns the body of a completion that is not streamed.
    pub(crate) fn body(&self, text: &str, finish_reason: &str, usage: Usage) -> String {
        json!({
            "id": self.id, "object": "chat.completion", "created": self.created, "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }],
            "usage": usage.to_json(),
        })
        .to_string()
    }
}

impl Usage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens.saturating_add(self.completion_tokens),
        })
    }
}
