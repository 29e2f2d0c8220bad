//! The tokens of one generation.

use futures_lite::{AsyncRead, AsyncReadExt, future};

use super::line_parser::{Batch, LineParser, MalformedStream};

/// Bytes of one read. It holds some two hundred tokens, and an agent has one buffer for each running attempt.
const READ_BYTES: usize = 8 << 10;

/// Text of one frame after which no more tokens are added, so that a fast engine cannot delay a frame for long.
const FRAME_TEXT_BYTES: usize = 16 << 10;

/// Tokens of one frame after which no more are added. Tokens may have no text, and a frame counts in 16 bits.
const FRAME_TOKENS: u16 = 8 << 10;

/// What a stream yields.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamItem {
    /// Tokens that were ready at the same time.
    Tokens(Batch),
    /// The answer is complete.
    Done {
        /// Its tokens, resumed ones included.
        total: u32,
    },
    /// The stream ended without a `done` line.
    Truncated,
    /// The stream is not one of an engine.
    Malformed(MalformedStream),
}

/// Reads the event stream of an engine.
#[derive(Debug)]
pub(crate) struct TokenStream<R> {
    body: R,
    buf: Box<[u8]>,
    parser: LineParser,
    ended: bool,
    malformed: Option<MalformedStream>,
}

impl<R: AsyncRead + Unpin> TokenStream<R> {
    /// Reads `body`, whose first token is at position `first`.
    pub(crate) fn new(body: R, first: u32) -> Self {
        let buf = vec![0; READ_BYTES].into_boxed_slice();
        Self { body, buf, parser: LineParser::new(first), ended: false, malformed: None }
    }

    /// Returns the position of the next token.
    pub(crate) fn next_position(&self) -> u32 {
        self.parser.next_position()
    }

    /// Waits for the next item. Dropping the future loses nothing, because what was read is parsed before the next
    /// wait and tokens are returned before another wait.
    pub(crate) async fn next(&mut self) -> StreamItem {
        let mut batch = Batch::default();
        let mut more = false;
        while batch.count == 0 {
            if let Some(item) = self.end() {
                return item;
            }
            let read = self.body.read(&mut self.buf).await;
            more = self.take(read, &mut batch);
        }
        while more
            && batch.text.len() < FRAME_TEXT_BYTES
            && batch.count < FRAME_TOKENS
            && self.end().is_none()
        {
            let Some(read) = future::poll_once(self.body.read(&mut self.buf)).await else {
                break;
            };
            more = self.take(read, &mut batch);
        }
        StreamItem::Tokens(batch)
    }

    fn end(&self) -> Option<StreamItem> {
        if let Some(malformed) = self.malformed {
            return Some(StreamItem::Malformed(malformed));
        }
        match self.parser.total() {
            Some(total) => Some(StreamItem::Done { total }),
            None if self.ended => Some(StreamItem::Truncated),
            None => None,
        }
    }

    /// Parses what was read, and returns whether more is likely to be ready. The tokens before a fault are kept, so
    /// that a stream resumes behind them.
    ///
    /// An error of the connection ends the stream like its end does: what counts is whether the `done` line came.
    fn take(&mut self, read: std::io::Result<usize>, batch: &mut Batch) -> bool {
        match read {
            Ok(0) | Err(_) => {
                self.ended = true;
                false
            }
            Ok(n) => {
                self.malformed = self.parser.push(&self.buf[..n], batch).err();
                // A read that leaves half of the buffer empty has taken all that was there, and another try would
                // cost a system call for each token.
                n >= READ_BYTES / 2
            }
        }
    }

    /// Reads the rest of a complete stream, so that the connection can be used again.
    pub(crate) async fn finish(mut self) {
        while let Ok(n) = self.body.read(&mut self.buf).await {
            if n == 0 {
                return;
            }
        }
    }
}
