//! Reads request and response bodies.

use std::io;

use super::{BufferedSocket, ChunkDecoder, Framing, HeadError};
use crate::body_budget::{BodyLease, BodyLimitError};

/// Why a body could not be read to its end.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the end of the body.
    #[error("the connection was closed before the end of the body")]
    Truncated,
    /// The chunked coding is malformed.
    #[error("malformed body: {0}")]
    Malformed(#[from] HeadError),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The body exceeds a limit.
    #[error(transparent)]
    Limit(#[from] BodyLimitError),
}

/// Reads a body. The variant states what is left to read.
#[derive(Clone, Debug)]
pub(crate) enum BodyReader {
    /// The body is complete.
    Done,
    /// The given number of bytes is left.
    Length(u64),
    /// The last chunk was not read yet.
    Chunked(ChunkDecoder),
    /// The body extends to the end of the connection.
    UntilClose,
}

impl BodyReader {
    pub(crate) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Empty | Framing::Length(0) => Self::Done,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Chunked(ChunkDecoder::new()),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Returns whether the body is complete.
    pub(crate) fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// Appends the next part of the body to `out`. Reads from the socket once if no buffered bytes can be used, so the part
    /// may be empty.
    pub(crate) async fn read_some(
        &mut self,
        socket: &mut BufferedSocket,
        out: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        if self.is_done() || self.consume_buffered(socket, out)? > 0 {
            return Ok(());
        }
        if socket.fill().await? == 0 {
            return self.on_end_of_stream();
        }
        self.consume_buffered(socket, out)?;
        Ok(())
    }

    /// Reads the rest of the body, as far as the limits of `lease` allow it.
    pub(crate) async fn read_to_end(
        &mut self,
        socket: &mut BufferedSocket,
        lease: &mut BodyLease,
    ) -> Result<Vec<u8>, BodyError> {
        let mut body = Vec::new();
        while !self.is_done() {
            self.read_some(socket, &mut body).await?;
            lease.resize(body.len())?;
        }
        Ok(body)
    }

    fn on_end_of_stream(&mut self) -> Result<(), BodyError> {
        if !matches!(self, Self::UntilClose) {
            return Err(BodyError::Truncated);
        }
        *self = Self::Done;
        Ok(())
    }

    /// Decodes buffered bytes into `out`. Returns the number of bytes consumed.
    fn consume_buffered(
        &mut self,
        socket: &mut BufferedSocket,
        out: &mut Vec<u8>,
    ) -> Result<usize, HeadError> {
        let data = socket.buffered();
        let used = match self {
            Self::Done => 0,
            Self::Length(left) => {
                let used = data.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                out.extend_from_slice(&data[..used]);
                *left -= used as u64;
                used
            }
            Self::Chunked(decoder) => decoder.decode(data, out)?,
            Self::UntilClose => {
                out.extend_from_slice(data);
                data.len()
            }
        };
        socket.consume(used);
        let is_done = match self {
            Self::Length(left) => *left == 0,
            Self::Chunked(decoder) => decoder.is_done(),
            Self::Done | Self::UntilClose => false,
        };
        if is_done {
            *self = Self::Done;
        }
        Ok(used)
    }
}
