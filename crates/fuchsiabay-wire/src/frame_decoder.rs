//! Splits a byte stream into frames.

use crate::{Frame, FrameError, MAX_FRAME_BYTES};

/// Buffers received bytes and returns complete frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: Vec<u8>,
    consumed: usize,
}

impl FrameDecoder {
    /// Appends received bytes to the buffer.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.buf.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if it is not complete yet.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some((header, rest)) = self.buf[self.consumed..].split_at_checked(4) else {
            return Ok(None);
        };
        let len = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if len > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(len));
        }
        let Some(body) = rest.get(..len) else {
            return Ok(None);
        };
        let frame = Frame::decode(body)?;
        self.consumed += 4 + len;
        Ok(Some(frame))
    }
}
