//! The encoding of a frame: length, kind and payload.

use fuchsiabay_base::AttemptId;

use crate::{AuthTag, End, Hello, Tokens};

/// The maximum size of a frame without its length field, in bytes. It bounds how much memory one peer can make another
/// allocate.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

const KIND_HELLO: u8 = 1;
const KIND_AUTH: u8 = 2;
const KIND_REQUEST: u8 = 3;
const KIND_RESPONSE: u8 = 4;
const KIND_TOKENS: u8 = 5;
const KIND_END: u8 = 6;

/// The size of the attempt id, the position of the first token and the token count, in bytes.
const TOKENS_HEADER_BYTES: usize = 8 + 4 + 2;

/// A message between two processes of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Introduces the sender. The payload is a serialized [`Hello`], kept as received because the authentication
    /// covers it.
    Hello(Vec<u8>),
    /// Proves that the sender holds the shared key.
    Auth(AuthTag),
    /// A JSON-RPC request.
    Request(String),
    /// A JSON-RPC response.
    Response(String),
    /// Tokens of an attempt.
    Tokens(Tokens),
    /// The end of an attempt.
    End(Box<End>),
}

/// Why a frame could not be encoded or decoded. A connection that receives a frame that cannot be decoded must be
/// closed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum FrameError {
    /// The frame exceeds the size limit.
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge(usize),
    /// The frame has no kind.
    #[error("empty frame")]
    Empty,
    /// The kind is unknown.
    #[error("unknown frame kind {0}")]
    UnknownKind(u8),
    /// The payload does not match the kind.
    #[error("malformed payload of frame kind {0}")]
    Malformed(u8),
}

impl Frame {
    /// Returns the hello frame of one side.
    pub fn hello(hello: &Hello) -> Self {
        Self::Hello(serde_json::to_vec(hello).expect("a hello always serializes"))
    }

    /// Appends the encoded frame to `buf`. If the frame is too large, returns an error and leaves `buf` unchanged.
    pub fn encode(&self, buf: &mut Vec<u8>) -> Result<(), FrameError> {
        let start = buf.len();
        buf.extend_from_slice(&[0; 4]);
        match self {
            Self::Hello(payload) => push_body(buf, KIND_HELLO, payload),
            Self::Auth(tag) => push_body(buf, KIND_AUTH, tag),
            Self::Request(text) => push_body(buf, KIND_REQUEST, text.as_bytes()),
            Self::Response(text) => push_body(buf, KIND_RESPONSE, text.as_bytes()),
            Self::Tokens(tokens) => {
                buf.push(KIND_TOKENS);
                buf.extend_from_slice(&tokens.attempt.0.to_be_bytes());
                buf.extend_from_slice(&tokens.first.to_be_bytes());
                buf.extend_from_slice(&tokens.count.to_be_bytes());
                buf.extend_from_slice(&tokens.text);
            }
            Self::End(end) => {
                buf.push(KIND_END);
                serde_json::to_writer(&mut *buf, end).expect("an end always serializes");
            }
        }
        let len = buf.len() - start - 4;
        if len > MAX_FRAME_BYTES {
            buf.truncate(start);
            return Err(FrameError::TooLarge(len));
        }
        buf[start..start + 4].copy_from_slice(&(len as u32).to_be_bytes());
        Ok(())
    }

    /// Decodes the part of a frame that follows the length field.
    pub(crate) fn decode(body: &[u8]) -> Result<Self, FrameError> {
        let Some((&kind, payload)) = body.split_first() else {
            return Err(FrameError::Empty);
        };
        let malformed = FrameError::Malformed(kind);
        let text = || String::from_utf8(payload.to_vec()).map_err(|_| FrameError::Malformed(kind));
        match kind {
            KIND_HELLO => Ok(Self::Hello(payload.to_vec())),
            KIND_AUTH => payload.try_into().map(Self::Auth).map_err(|_| malformed),
            KIND_REQUEST => text().map(Self::Request),
            KIND_RESPONSE => text().map(Self::Response),
            KIND_TOKENS => decode_tokens(payload).map(Self::Tokens).ok_or(malformed),
            KIND_END => {
                serde_json::from_slice(payload).map(|end| Self::End(Box::new(end))).map_err(|_| malformed)
            }
            _ => Err(FrameError::UnknownKind(kind)),
        }
    }
}

fn push_body(buf: &mut Vec<u8>, kind: u8, payload: &[u8]) {
    buf.push(kind);
    buf.extend_from_slice(payload);
}

fn decode_tokens(payload: &[u8]) -> Option<Tokens> {
    let (header, text) = payload.split_at_checked(TOKENS_HEADER_BYTES)?;
    let attempt = u64::from_be_bytes(header[..8].try_into().ok()?);
    let first = u32::from_be_bytes(header[8..12].try_into().ok()?);
    let count = u16::from_be_bytes(header[12..].try_into().ok()?);
    Some(Tokens { attempt: AttemptId(attempt), first, count, text: text.to_vec() })
}
