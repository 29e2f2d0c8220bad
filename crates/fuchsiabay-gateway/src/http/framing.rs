//! How the end of a body is found.

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends with its connection.
    UntilClose,
}
