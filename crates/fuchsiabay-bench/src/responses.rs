//! Deterministic responses of the fakes.
//!
//! A token depends only on the prompt and its position. The fakes and the load generator share this module, so that the
//! load generator can check that a response is complete, belongs to its own request, and neither repeats nor skips a
//! token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of every token in bytes.
pub const TOKEN_LEN: usize = 6;

/// Marks the start of the part of a prompt that determines the tokens.
const SUBJECT_START: &str = "[ask:";
/// Marks the end of the part of a prompt that determines the tokens.
const SUBJECT_END: char = ']';

/// The unbounded sequence of tokens that the fake engine generates for one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSequence {
    seed: u64,
}

impl TokenSequence {
    /// Returns the token sequence for `prompt`.
    ///
    /// If `prompt` contains a part between `[ask:` and `]`, only this part determines the tokens, because an entry
    /// instance may format the messages of a chat in its own way.
    pub fn for_prompt(prompt: &str) -> Self {
        Self { seed: xxh3_64_with_seed(subject(prompt).as_bytes(), 0) }
    }

    /// Wraps `subject` in the markers of the part of a prompt that determines the tokens.
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

    /// Returns the text of the first `count` tokens.
    pub fn text(self, count: u32) -> String {
        let mut buf = Vec::with_capacity(count as usize * TOKEN_LEN);
        for position in 0..count {
            self.push_token(position, &mut buf);
        }
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Compares `text` with the first `count` tokens.
    pub fn compare(self, text: &str, count: u32) -> TextMatch {
        let expected = self.text(count);
        if text == expected {
            return TextMatch::Complete;
        }
        if expected.starts_with(text) {
            return TextMatch::Prefix;
        }
        TextMatch::Mismatch
    }
}

/// How a received text compares with the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextMatch {
    /// The text is the expected one.
    Complete,
    /// The text is a proper prefix of the expected one.
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

/// Returns the body of the response of the fake plain service to a call.
pub fn service_response_body(method: &str, path: &str, body: &[u8]) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(body);
    format!("{{\"method\":\"{method}\",\"path\":\"{path}\",\"body_hash\":\"{hash:016x}\"}}")
}
