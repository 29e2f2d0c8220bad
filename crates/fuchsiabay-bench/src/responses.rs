//! Generated texts as a function of prompt and position.
//!
//! The engine stand-in and the load generator share this module, so that a caller can check that an answer is
//! whole, belongs to its own request, and neither repeats nor skips a token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of every token in bytes.
pub const TOKEN_LEN: usize = 6;

/// Opens the part of a prompt that the answer depends on.
const SUBJECT_START: &str = "[ask:";
/// Closes the part of a prompt that the answer depends on.
const SUBJECT_END: char = ']';

/// The answers to one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSequence {
    seed: u64,
}

impl TokenSequence {
    /// Returns the answers to `prompt`.
    ///
    /// Only the part between `[ask:` and `]` counts where there is one, because a balancer may lay out the
    /// messages of a chat in a form of its own.
    pub fn for_prompt(prompt: &str) -> Self {
        Self { seed: xxh3_64_with_seed(subject(prompt).as_bytes(), 0) }
    }

    /// Returns the prompt text that marks `subject` as the part that the answer depends on.
    pub fn mark_subject(subject: &str) -> String {
        format!("{SUBJECT_START}{subject}{SUBJECT_END}")
    }

    /// Appends the token at `position` to `buf`.
    pub fn push_token(self, position: u32, buf: &mut Vec<u8>) {
        const DIGITS: &[u8; 16] = b"0123456789abcdef";
        let hash = xxh3_64_with_seed(&position.to_le_bytes(), self.seed);
        buf.extend((0..TOKEN_LEN - 1).map(|i| DIGITS[(hash >> (4 * i)) as usize & 0xf]));
        buf.push(b' ');
    }

    /// Returns the tokens from position 0 up to `count`.
    pub fn text(self, count: u32) -> String {
        let mut buf = Vec::with_capacity(count as usize * TOKEN_LEN);
        for position in 0..count {
            self.push_token(position, &mut buf);
        }
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Compares `text` with the whole answer of `count` tokens.
    pub fn compare(self, text: &str, count: u32) -> TextMatch {
        let whole = self.text(count);
        if text == whole {
            return TextMatch::Complete;
        }
        if whole.starts_with(text) {
            return TextMatch::Prefix;
        }
        TextMatch::Mismatch
    }
}

/// What a received text is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextMatch {
    /// The whole answer.
    Complete,
    /// The beginning of the answer.
    Prefix,
    /// The text repeats or skips tokens, or belongs to another request.
    Mismatch,
}

fn subject(prompt: &str) -> &str {
    let Some((_, rest)) = prompt.split_once(SUBJECT_START) else {
        return prompt;
    };
    rest.split_once(SUBJECT_END).map_or(prompt, |(subject, _)| subject)
}

/// Returns the body with which the plain-service stand-in answers a call.
pub fn service_response_body(method: &str, path: &str, body: &[u8]) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(body);
    format!("{{\"method\":\"{method}\",\"path\":\"{path}\",\"body_hash\":\"{hash:016x}\"}}")
}
