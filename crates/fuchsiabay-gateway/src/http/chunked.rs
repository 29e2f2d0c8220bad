//! The chunked transfer coding.

use super::HeadError;

/// The longest chunk-size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// The maximum size of all trailer lines together, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// The maximum number of hexadecimal digits of a chunk size. Eight digits allow up to 4 GiB, more than any body limit.
const MAX_SIZE_DIGITS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    /// This many bytes of the chunk's data are left.
    Data(u64),
    /// The CRLF after a chunk's data.
    DataEnd,
    Trailer,
    Done,
}

/// Decodes a chunked body incrementally.
#[derive(Clone, Debug)]
pub(crate) struct ChunkDecoder {
    state: State,
    trailer_bytes: usize,
}

impl ChunkDecoder {
    pub(crate) const fn new() -> Self {
        Self { state: State::Size, trailer_bytes: 0 }
    }

    /// Returns whether the body is complete.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes as much of `input` as possible into `out`. Returns the number of bytes consumed.
    pub(crate) fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, HeadError> {
        let mut used = 0;
        while self.state != State::Done {
            let rest = &input[used..];
            let Some(step) = self.decode_step(rest, out)? else {
                break;
            };
            used += step;
        }
        Ok(used)
    }

    /// Decodes one line, or the chunk data at the start of `rest`. Returns the number of bytes consumed, or None if
    /// more input is needed.
    fn decode_step(&mut self, rest: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, HeadError> {
        match self.state {
            State::Data(left) => {
                if rest.is_empty() {
                    return Ok(None);
                }
                let len = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                out.extend_from_slice(&rest[..len]);
                let left = left - len as u64;
                self.state = if left == 0 { State::DataEnd } else { State::Data(left) };
                Ok(Some(len))
            }
            State::Done => Ok(None),
            State::Size | State::DataEnd | State::Trailer => {
                let Some(line) = split_line(rest)? else {
                    return Ok(None);
                };
                if self.state == State::Trailer {
                    self.trailer_bytes += line.len();
                }
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(HeadError::Malformed);
                }
                self.state = next_state(self.state, line)?;
                Ok(Some(line.len() + 2))
            }
        }
    }
}

fn next_state(state: State, line: &[u8]) -> Result<State, HeadError> {
    match state {
        State::Size => match parse_size(line)? {
            0 => Ok(State::Trailer),
            size => Ok(State::Data(size)),
        },
        State::DataEnd if line.is_empty() => Ok(State::Size),
        State::Trailer if line.is_empty() => Ok(State::Done),
        State::Trailer => Ok(State::Trailer),
        _ => Err(HeadError::Malformed),
    }
}

/// Returns the line at the start of `rest` without its CRLF, or None if it is incomplete.
fn split_line(rest: &[u8]) -> Result<Option<&[u8]>, HeadError> {
    let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
        return if rest.len() > MAX_LINE_BYTES { Err(HeadError::Malformed) } else { Ok(None) };
    };
    let line = rest[..end].strip_suffix(b"\r").ok_or(HeadError::Malformed)?;
    if line.contains(&b'\r') || line.len() > MAX_LINE_BYTES {
        return Err(HeadError::Malformed);
    }
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, HeadError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HeadError::Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| HeadError::Malformed)?;
    u64::from_str_radix(digits, 16).map_err(|_| HeadError::Malformed)
}
