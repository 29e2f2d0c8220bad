//! Token frames.

use fuchsiabay_base::AttemptId;

/// Consecutive tokens of one attempt.
///
/// The frame is binary and not JSON-RPC, because tokens outnumber every other message by three orders of
/// magnitude.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// The attempt that the tokens belong to.
    pub attempt: AttemptId,
    /// The position of the first token, counted from the start of the whole answer.
    pub first: u32,
    /// How many tokens `text` holds.
    pub count: u16,
    /// The text of the tokens.
    pub text: Vec<u8>,
}
