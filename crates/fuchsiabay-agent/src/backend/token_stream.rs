//! The token stream of an engine.

use futures_lite::{AsyncRead, AsyncReadExt, future};

use super::line_parser::{LineParser, MalformedStream, TokenBatch};

/// The size of the read buffer. It holds about two hundred tokens, and an agent has one buffer per running attempt.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// The text length, in bytes, at which no more tokens are added to a frame, so that a fast engine cannot delay the
/// frame for long.
const MAX_FRAME_TEXT_BYTES: usize = 16 << 10;

/// The number of tokens at which no more are added to a frame. Tokens may have no text, and a frame counts its tokens
/// in 16 bits.
const MAX_FRAME_TOKENS: u16 = 8 << 10;

/// An item of a [`TokenStream`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamItem {
    /// Consecutive tokens that arrived together.
    Tokens(TokenBatch),
    /// The stream is complete.
    Done {
        /// The total number of tokens, including those before a resumption.
        total: u32,
    },
    /// The stream ended without a `done` line.
    Truncated,
    /// The stream is malformed.
    Malformed(MalformedStream),
}

/// Reads tokens from the event stream of an engine.
#[derive(Debug)]
pub(crate) struct TokenStream<R> {
    body: R,
    buf: Box<[u8]>,
    parser: LineParser,
    ended: bool,
    malformed: Option<MalformedStream>,
}

impl<R: AsyncRead + Unpin> TokenStream<R> {
    /// Creates a stream that reads `body`, whose first token is at position `first`.
    pub(crate) fn new(body: R, first: u32) -> Self {
        let buf = vec![0; READ_BUFFER_BYTES].into_boxed_slice();
        Self { body, buf, parser: LineParser::new(first), ended: false, malformed: None }
    }

    /// Returns the position of the next token.
    pub(crate) fn next_position(&self) -> u32 {
        self.parser.next_position()
    }

    /// Waits for the next item.
    ///
    /// This method is cancel safe: the future returns the tokens of a read without waiting again, so dropping it while
    /// it waits loses no tokens.
    pub(crate) async fn next(&mut self) -> StreamItem {
        let mut batch = TokenBatch::default();
        let mut more = false;
        while batch.count == 0 {
            if let Some(item) = self.final_item() {
                return item;
            }
            let read = self.body.read(&mut self.buf).await;
            more = self.parse_read(read, &mut batch);
        }
        while more
            && batch.text.len() < MAX_FRAME_TEXT_BYTES
            && batch.count < MAX_FRAME_TOKENS
            && self.final_item().is_none()
        {
            let Some(read) = future::poll_once(self.body.read(&mut self.buf)).await else {
                break;
            };
            more = self.parse_read(read, &mut batch);
        }
        StreamItem::Tokens(batch)
    }

    fn final_item(&self) -> Option<StreamItem> {
        if let Some(malformed) = self.malformed {
            return Some(StreamItem::Malformed(malformed));
        }
        match self.parser.total() {
            Some(total) => Some(StreamItem::Done { total }),
            None if self.ended => Some(StreamItem::Truncated),
            None => None,
        }
    }

    /// Parses the result of a read, and returns whether more data is likely to be ready. Tokens before malformed data
    /// are kept, so that the stream can be resumed after them.
    ///
    /// A connection error is treated like the end of the body: only the `done` line tells whether the stream is
    /// complete.
    fn parse_read(&mut self, read: std::io::Result<usize>, batch: &mut TokenBatch) -> bool {
        match read {
            Ok(0) | Err(_) => {
                self.ended = true;
                false
            }
            Ok(n) => {
                self.malformed = self.parser.push(&self.buf[..n], batch).err();
                // A read that leaves half of the buffer empty has most likely drained the socket, and another read
                // would cost a system call per token.
                n >= READ_BUFFER_BYTES / 2
            }
        }
    }

    /// Reads the rest of a complete stream, so that the connection can be reused.
    pub(crate) async fn read_to_end(mut self) {
        while let Ok(n) = self.body.read(&mut self.buf).await {
            if n == 0 {
                return;
            }
        }
    }
}
