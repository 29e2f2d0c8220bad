//! The chunked transfer coding.

use super::HeadError;

/// The longest line of a chunk's size or of a trailer, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// Digits of a chunk's size. Eight hold 4 GiB, which is above every limit on bodies.
const MAX_SIZE_DIGITS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Decodes a chunked body piece by piece.
#[derive(Clone, Debug)]
pub(crate) struct ChunkDecoder {
    state: State,
}

impl ChunkDecoder {
    pub(crate) const fn new() -> Self {
        Self { state: State::Size }
    }

    /// Returns whether the end of the body was reached.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes what it can of `input` into `out`. Returns how many bytes of `input` were used.
    pub(crate) fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, HeadError> {
        let mut used = 0;
        while self.state != State::Done {
            let rest = &input[used..];
            let Some(step) = self.step(rest, out)? else {
                break;
            };
            used += step;
        }
        Ok(used)
    }

    /// Takes one line or one piece of data. Returns None when more input is needed.
    fn step(&mut self, rest: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, HeadError> {
        match self.state {
            State::Data(left) => {
                if rest.is_empty() {
                    return Ok(None);
                }
                let take = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                out.extend_from_slice(&rest[..take]);
                let left = left - take as u64;
                self.state = if left == 0 { State::DataEnd } else { State::Data(left) };
                Ok(Some(take))
            }
            State::Done => Ok(None),
            State::Size | State::DataEnd | State::Trailer => {
                let Some(line) = line(rest)? else {
                    return Ok(None);
                };
                self.state = next_state(self.state, line)?;
                Ok(Some(line.len() + 2))
            }
        }
    }
}

fn next_state(state: State, line: &[u8]) -> Result<State, HeadError> {
    match state {
        State::Size => match size(line)? {
            0 => Ok(State::Trailer),
            size => Ok(State::Data(size)),
        },
        State::DataEnd if line.is_empty() => Ok(State::Size),
        State::Trailer if line.is_empty() => Ok(State::Done),
        State::Trailer => Ok(State::Trailer),
        _ => Err(HeadError::Malformed),
    }
}

/// Returns the line at the start of `rest` without its end, or None when it is not whole yet.
fn line(rest: &[u8]) -> Result<Option<&[u8]>, HeadError> {
    let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
        return if rest.len() > MAX_LINE_BYTES { Err(HeadError::Malformed) } else { Ok(None) };
    };
    let line = rest[..end].strip_suffix(b"\r").ok_or(HeadError::Malformed)?;
    if line.contains(&b'\r') || line.len() > MAX_LINE_BYTES {
        return Err(HeadError::Malformed);
    }
    Ok(Some(line))
}

fn size(line: &[u8]) -> Result<u64, HeadError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HeadError::Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| HeadError::Malformed)?;
    u64::from_str_radix(digits, 16).map_err(|_| HeadError::Malformed)
}
