//! The content of token frames.

use fuchsiabay_base::AttemptId;

/// Consecutive tokens of one attempt.
///
/// The frame is binary instead of JSON-RPC, because tokens outnumber all other messages by three orders of magnitude.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// The attempt that the tokens belong to.
    pub attempt: AttemptId,
    /// The position of the first token in the complete response.
    pub first: u32,
    /// The number of tokens in `text`.
    pub count: u16,
    /// The text of the tokens.
    pub text: Vec<u8>,
}
