//! The body of a chat completion request.

use std::hash::{Hash, Hasher};

use serde::Deserialize;

use crate::problem_details::ProblemDetails;

/// The number of bytes of text that count as one token. An entry instance has no tokenizer; the token counts of the
/// engine replace the estimate.
const BYTES_PER_TOKEN: usize = 4;
/// The length of the prompt prefix that selects a server, so that requests with a common system prompt share its cache.
/// Shorter prompts gain nothing from a cache.
const PREFIX_BYTES: usize = 128;

/// The fields of an OpenAI-compatible request that the engines support. Sampling parameters are accepted and ignored.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    tools: Vec<serde::de::IgnoredAny>,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Message {
    role: Role,
    content: Content,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Role {
    System,
    Developer,
    User,
    Assistant,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Part {
    Text { text: String },
}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Self::System | Self::Developer => "system",
            Self::User => "user",
            Self::Assistant => "assistant",
        }
    }
}

impl ChatRequest {
    /// Parses and validates a body.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, ProblemDetails> {
        let req: Self =
            serde_json::from_slice(body).map_err(|error| ProblemDetails::bad_request(error.to_string()))?;
        if req.messages.is_empty() {
            return Err(ProblemDetails::bad_request("messages: at least one message is required"));
        }
        if req.n.is_some_and(|n| n != 1) {
            return Err(ProblemDetails::bad_request("n: allowed: 1"));
        }
        if !req.tools.is_empty() {
            return Err(ProblemDetails::bad_request("tools: not supported"));
        }
        Ok(req)
    }

    /// Returns the maximum number of output tokens. It may be at most `allowed`, which is also the default.
    pub(crate) fn output_limit(&self, allowed: u32) -> Result<u32, ProblemDetails> {
        let limit = self.max_completion_tokens.or(self.max_tokens).unwrap_or(allowed);
        if !(1..=allowed).contains(&limit) {
            return Err(ProblemDetails::bad_request(format!(
                "max_completion_tokens: allowed: 1 to {allowed}"
            )));
        }
        Ok(limit)
    }

    pub(crate) fn include_usage(&self) -> bool {
        self.stream_options.is_some_and(|options| options.include_usage)
    }

    /// Builds the prompt: each message as `role: text` on a line of its own, then `assistant:`, where the response
    /// continues. The text parts of one message are joined without a separator.
    pub(crate) fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(message.role.as_str());
            prompt.push_str(": ");
            match &message.content {
                Content::Text(text) => prompt.push_str(text),
                Content::Parts(parts) => parts.iter().for_each(|Part::Text { text }| prompt.push_str(text)),
            }
            prompt.push('\n');
        }
        prompt.push_str("assistant:");
        prompt
    }
}

/// Estimates the number of tokens in `text`.
pub(crate) fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns a hash that is equal for requests of `service` with the same prompt prefix. A prompt that is too short for
/// prefix affinity has none.
pub(crate) fn prefix_hash(service: &str, prompt: &str) -> Option<u64> {
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = std::hash::DefaultHasher::new();
    (service, prefix).hash(&mut hasher);
    Some(hasher.finish())
}
