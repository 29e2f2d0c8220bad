//! Errors of remote calls.

use fuchsiabay_base::Verdict;

/// The reason why a remote call failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// The connection was closed, or the deadline passed, before the request was passed to the socket.
    #[error("the request was not sent")]
    NotSent,
    /// The connection was lost after the request was passed to the socket.
    #[error("the connection was lost before the reply")]
    ConnectionLost,
    /// The deadline passed after the request was passed to the socket.
    #[error("the deadline passed before the reply")]
    DeadlinePassed,
    /// The request exceeds the frame size limit and was not sent.
    #[error("the request exceeds the frame size limit")]
    TooLarge,
    /// The parameters cannot be serialized, so the request was not sent.
    #[error("cannot serialize the request: {0}")]
    Unserializable(#[source] serde_json::Error),
    /// The peer replied with an error object.
    #[error("the peer replied with error {code}: {message}")]
    Remote {
        /// The JSON-RPC error code.
        code: i32,
        /// The error message of the peer.
        message: String,
    },
    /// The reply cannot be parsed.
    #[error("malformed reply: {0}")]
    Malformed(#[source] serde_json::Error),
}

impl CallError {
    /// Returns whether the call may have had an effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent | Self::TooLarge | Self::Unserializable(_) => Verdict::NotRun,
            Self::ConnectionLost | Self::DeadlinePassed | Self::Remote { .. } | Self::Malformed(_) => {
                Verdict::MayHaveRun
            }
        }
    }
}
