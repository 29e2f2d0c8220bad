//! Framing of bodies.

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}
