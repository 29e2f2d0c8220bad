//! Parser for the server-sent events of an engine.

use std::borrow::Cow;

use serde::Deserialize;

/// The maximum length of a line. A stream with a longer line is malformed.
const MAX_LINE_BYTES: usize = 256 << 10;

/// Why a stream is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum MalformedStream {
    #[error("a line of the stream cannot be parsed")]
    InvalidLine,
    #[error("a line of the stream is too long")]
    TooLong,
    #[error("the token positions of the stream are not contiguous")]
    Gap,
}

/// Consecutive tokens that arrived together.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct TokenBatch {
    pub(crate) first: u32,
    pub(crate) count: u16,
    pub(crate) text: Vec<u8>,
}

/// Splits bytes into lines and collects their tokens in batches.
#[derive(Debug)]
pub(crate) struct LineParser {
    /// The bytes of an incomplete line.
    partial: Vec<u8>,
    /// The position of the next token.
    next: u32,
    /// The total number of tokens, once the `done` line has been parsed.
    total: Option<u32>,
}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(default)]
    pos: u32,
    // Not an `Option<Cow>`, because serde would copy the text.
    #[serde(borrow, default)]
    text: Cow<'a, str>,
    #[serde(default)]
    done: bool,
    #[serde(default)]
    total: u32,
}

impl LineParser {
    /// Creates a parser that expects the first token at position `first`.
    pub(crate) fn new(first: u32) -> Self {
        Self { partial: Vec::new(), next: first, total: None }
    }

    /// Returns the position of the next token.
    pub(crate) fn next_position(&self) -> u32 {
        self.next
    }

    /// Returns the total of the `done` line, if it has been parsed. No further `data` line may follow it.
    pub(crate) fn total(&self) -> Option<u32> {
        self.total
    }

    /// Parses `bytes` and adds the tokens to `batch`.
    pub(crate) fn push(&mut self, bytes: &[u8], batch: &mut TokenBatch) -> Result<(), MalformedStream> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let (line, after) = (&rest[..end], &rest[end + 1..]);
            rest = after;
            if self.partial.is_empty() {
                self.parse_line(line, batch)?;
                continue;
            }
            let mut whole = std::mem::take(&mut self.partial);
            whole.extend_from_slice(line);
            self.parse_line(&whole, batch)?;
            whole.clear();
            self.partial = whole;
        }
        if self.partial.len() + rest.len() > MAX_LINE_BYTES {
            return Err(MalformedStream::TooLong);
        }
        self.partial.extend_from_slice(rest);
        Ok(())
    }

    fn parse_line(&mut self, line: &[u8], batch: &mut TokenBatch) -> Result<(), MalformedStream> {
        let Some(data) = line.trim_ascii_end().strip_prefix(b"data:") else {
            // Skips blank lines, comments and other fields of server-sent events.
            return Ok(());
        };
        if self.total.is_some() {
            return Err(MalformedStream::InvalidLine);
        }
        let line: Line<'_> = serde_json::from_slice(data).map_err(|_| MalformedStream::InvalidLine)?;
        if line.done {
            if line.total != self.next {
                return Err(MalformedStream::Gap);
            }
            self.total = Some(line.total);
            return Ok(());
        }
        if line.pos != self.next {
            return Err(MalformedStream::Gap);
        }
        if batch.count == 0 {
            batch.first = line.pos;
        }
        batch.count = batch.count.checked_add(1).ok_or(MalformedStream::TooLong)?;
        batch.text.extend_from_slice(line.text.as_bytes());
        self.next += 1;
        Ok(())
    }
}
