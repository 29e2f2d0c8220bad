//! Parses the event stream of an engine.

use std::borrow::Cow;

use serde::Deserialize;

/// The longest line of an engine. A stream with a longer one is taken for garbage.
const MAX_LINE_BYTES: usize = 256 << 10;

/// Why a stream is not one of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum MalformedStream {
    #[error("a line of the stream is not understood")]
    Line,
    #[error("a line of the stream is too long")]
    TooLong,
    #[error("the positions of the stream have a gap")]
    Gap,
}

/// Tokens that were ready at the same time.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Batch {
    pub(crate) first: u32,
    pub(crate) count: u16,
    pub(crate) text: Vec<u8>,
}

/// Collects bytes into lines and lines into batches.
#[derive(Debug)]
pub(crate) struct LineParser {
    /// The bytes of a line whose end has not arrived.
    partial: Vec<u8>,
    next: u32,
    total: Option<u32>,
}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(default)]
    pos: u32,
    // Directly a `Cow`, because serde copies the text of an optional one.
    #[serde(borrow, default)]
    text: Cow<'a, str>,
    #[serde(default)]
    done: bool,
    #[serde(default)]
    total: u32,
}

impl LineParser {
    /// Expects the first token at position `first`.
    pub(crate) fn new(first: u32) -> Self {
        Self { partial: Vec::new(), next: first, total: None }
    }

    /// Returns the position of the next token.
    pub(crate) fn next_position(&self) -> u32 {
        self.next
    }

    /// Returns the total of the `done` line, after which nothing is expected.
    pub(crate) fn total(&self) -> Option<u32> {
        self.total
    }

    /// Parses `bytes` and adds the tokens to `batch`.
    pub(crate) fn push(&mut self, bytes: &[u8], batch: &mut Batch) -> Result<(), MalformedStream> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let (line, after) = (&rest[..end], &rest[end + 1..]);
            rest = after;
            if self.partial.is_empty() {
                self.line(line, batch)?;
                continue;
            }
            let mut whole = std::mem::take(&mut self.partial);
            whole.extend_from_slice(line);
            self.line(&whole, batch)?;
            whole.clear();
            self.partial = whole;
        }
        if self.partial.len() + rest.len() > MAX_LINE_BYTES {
            return Err(MalformedStream::TooLong);
        }
        self.partial.extend_from_slice(rest);
        Ok(())
    }

    fn line(&mut self, line: &[u8], batch: &mut Batch) -> Result<(), MalformedStream> {
        let Some(data) = line.trim_ascii_end().strip_prefix(b"data:") else {
            // Blank lines, comments and other fields of server-sent events.
            return Ok(());
        };
        if self.total.is_some() {
            return Err(MalformedStream::Line);
        }
        let line: Line<'_> = serde_json::from_slice(data).map_err(|_| MalformedStream::Line)?;
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
