//! The part of a response that has arrived.

use fuchsiabay_base::is_mechanism_enabled;

/// Why a frame cannot be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TranscriptError {
    /// Tokens before the frame are missing.
    #[error("the frame starts at token {first}, but token {expected} was expected")]
    Gap {
        /// The position of the next token.
        expected: u32,
        /// The position of the first token of the frame.
        first: u32,
    },
    /// The frame repeats tokens, but its text does not match the text that has arrived.
    #[error("the frame repeats tokens with different text")]
    Mismatch,
    /// The text is not UTF-8.
    #[error("the text is not UTF-8")]
    NotUtf8,
}

/// The text and token count of the response so far. Positions count tokens from the start of the whole response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    text: String,
    position: u32,
    // Byte offsets of the two positions at which repeated tokens may start: where the attempt resumed, and the start
    // of the last frame. Offsets of every token would cost more memory than the text.
    resumed_at: Mark,
    last_frame: Mark,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mark {
    position: u32,
    offset: usize,
}

impl Transcript {
    /// Returns the text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the number of tokens.
    pub fn position(&self) -> u32 {
        self.position
    }

    /// Records that an attempt resumes at the current position.
    pub fn mark_resumed(&mut self) {
        self.resumed_at = Mark { position: self.position, offset: self.text.len() };
    }

    /// Appends the new part of a frame and returns the byte offset at which it starts. A frame that only repeats tokens
    /// adds nothing.
    ///
    /// # Errors
    ///
    /// Fails without changing the transcript when tokens are missing or the frame does not match what has arrived.
    pub fn append(&mut self, first: u32, count: u16, text: &[u8]) -> Result<usize, TranscriptError> {
        if first > self.position && is_mechanism_enabled("contiguous-tokens") {
            return Err(TranscriptError::Gap { expected: self.position, first });
        }
        let Ok(text) = std::str::from_utf8(text) else {
            return Err(TranscriptError::NotUtf8);
        };
        let start = self.text.len();
        let end = first.checked_add(u32::from(count)).ok_or(TranscriptError::Mismatch)?;
        if end <= self.position {
            return Ok(start);
        }
        let new = if first >= self.position || !is_mechanism_enabled("strip-repeats") {
            text
        } else {
            self.new_part(first, text)?
        };
        self.last_frame = Mark { position: self.position, offset: start };
        self.text.push_str(new);
        self.position = end;
        Ok(start)
    }

    /// Returns the part of a frame's text that follows the repeated tokens. Token boundaries inside a frame are
    /// unknown, so the repeated part is recognised by its text.
    fn new_part<'a>(&self, first: u32, text: &'a str) -> Result<&'a str, TranscriptError> {
        let marks = [Mark::default(), self.resumed_at, self.last_frame];
        let Some(mark) = marks.iter().find(|mark| mark.position == first) else {
            return Err(TranscriptError::Mismatch);
        };
        text.strip_prefix(&self.text[mark.offset..]).ok_or(TranscriptError::Mismatch)
    }
}
