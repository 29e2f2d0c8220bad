//! Header fields, shared by request and response heads.

/// The maximum number of header fields in a head.
pub(crate) const MAX_HEADERS: usize = 100;

/// Why a head or a chunked body is rejected. Its connection must be closed, because the end of the message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum HeadError {
    /// The syntax is invalid or ambiguous.
    #[error("invalid or ambiguous syntax")]
    Malformed,
    /// `Content-Length` is repeated, not a number, or combined with a transfer coding.
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// The head exceeds the limit.
    #[error("the head exceeds the limit")]
    TooLarge,
    /// `Transfer-Encoding` is something other than `chunked`.
    #[error("unsupported transfer coding")]
    UnknownCoding,
}

/// The header fields of one head, in their original order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// Copies the parsed fields.
    pub(crate) fn new(fields: &[httparse::Header<'_>]) -> Self {
        Self(fields.iter().map(|field| (field.name.to_owned(), field.value.to_vec())).collect())
    }

    /// Returns the first value of the field `name` that is valid UTF-8.
    pub(crate) fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.get_all(name).next()
    }

    /// Returns the values of the field `name` that are valid UTF-8.
    pub(crate) fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let has_name = move |(other, _): &&(String, Vec<u8>)| other.eq_ignore_ascii_case(name);
        self.0.iter().filter(has_name).filter_map(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns all fields.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns whether the comma-separated list in the field `name` contains `token`.
    pub(crate) fn contains_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the value of `Content-Length`, if present.
    pub(crate) fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut fields = self.0.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let Some((_, value)) = fields.next() else {
            return Ok(None);
        };
        // Repeated lengths are rejected even if they are equal, because other implementations may read only one of them.
        if fields.next().is_some() || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
            return Err(HeadError::AmbiguousLength);
        }
        let digits = std::str::from_utf8(value).map_err(|_| HeadError::AmbiguousLength)?;
        digits.parse().map(Some).map_err(|_| HeadError::AmbiguousLength)
    }

    /// Returns whether the body is chunked.
    pub(crate) fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut codings = self.0.iter().filter(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
        let Some((_, coding)) = codings.next() else {
            return Ok(false);
        };
        if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
            return Err(HeadError::UnknownCoding);
        }
        if self.content_length()?.is_some() {
            return Err(HeadError::AmbiguousLength);
        }
        Ok(true)
    }
}

/// Returns whether a head contains a CR or LF that is not part of a CRLF pair. HTTP implementations differ in how they parse
/// such a head.
pub(crate) fn has_bare_cr_or_lf(head: &[u8]) -> bool {
    head.iter().enumerate().any(|(i, byte)| match byte {
        b'\n' => i == 0 || head[i - 1] != b'\r',
        b'\r' => head.get(i + 1) != Some(&b'\n'),
        _ => false,
    })
}
