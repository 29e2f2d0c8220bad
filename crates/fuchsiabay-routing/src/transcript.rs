//! The part of an answer that has arrived.

use fuchsiabay_base::is_mechanism_enabled;

/// Why a frame cannot be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TranscriptError {
    /// Tokens before the frame are missing.
    #[error("tokens {expected} to {first} are missing")]
    Gap {
        /// The position of the next token.
        expected: u32,
        /// The position of the first token of the frame.
        first: u32,
    },
    /// The frame repeats tokens and its new part cannot be told from them.
    #[error("the frame repeats tokens with another text")]
    Contradiction,
    /// The text is not UTF-8.
    #[error("the text is not UTF-8")]
    NotUtf8,
}

/// The text and token count of the answer so far. Positions count tokens from the start of the whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    text: String,
    position: u32,
    // Byte offsets of the two positions at which a repetition may start: where the attempt resumed and the last
    // frame. Offsets of every token would cost more memory than the text.
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

    /// Notes that an attempt resumes here.
    pub fn mark_resumed(&mut self) {
        self.resumed_at = Mark { position: self.position, offset: self.text.len() };
    }

    /// Appends the new part of a frame and returns the byte offset at which it starts. A repeated frame adds
    /// nothing.
    ///
    /// # Errors
    ///
    /// Fails without a change when tokens are missing or the frame contradicts what has arrived.
    pub fn append(&mut self, first: u32, count: u16, text: &[u8]) -> Result<usize, TranscriptError> {
        if first > self.position && is_mechanism_enabled("contiguous-tokens") {
            return Err(TranscriptError::Gap { expected: self.position, first });
        }
        let Ok(text) = std::str::from_utf8(text) else {
            return Err(TranscriptError::NotUtf8);
        };
        let start = self.text.len();
        let end = first.checked_add(u32::from(count)).ok_or(TranscriptError::Contradiction)?;
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

    /// Token boundaries inside a frame are unknown, so the repeated part is recognised by its text.
    fn new_part<'a>(&self, first: u32, text: &'a str) -> Result<&'a str, TranscriptError> {
        let marks = [Mark::default(), self.resumed_at, self.last_frame];
        let Some(mark) = marks.iter().find(|mark| mark.position == first) else {
            return Err(TranscriptError::Contradiction);
        };
        text.strip_prefix(&self.text[mark.offset..]).ok_or(TranscriptError::Contradiction)
    }
}
