//! Whether a request may be sent to a server.

use fuchsiabay_base::Timestamp;

/// Whether a request may be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// It may be sent.
    Granted,
    /// The server accepts none before this time.
    NotBefore(Timestamp),
    /// The server is leaving.
    Never,
}

impl SendPermission {
    /// Returns whether a request may be sent.
    pub const fn is_granted(self) -> bool {
        matches!(self, Self::Granted)
    }
}
