//! Splits an event stream into events.

/// Why part of a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventError {
    /// The id of an event is not one above the previous id.
    OutOfOrder,
    /// The bytes are not an event with a numeric id.
    Malformed,
}

/// Splits a stream into complete events and checks their order.
///
/// Invariant: the output is a sequence of complete events without gaps or duplicates, across all servers that sent parts of
/// the stream.
#[derive(Clone, Debug, Default)]
pub(super) struct EventSplitter {
    /// The bytes of an event that is not complete yet.
    partial: Vec<u8>,
    /// The number of bytes of `partial` that contain no end of an event.
    searched: usize,
    last_id: Option<u64>,
    forwarded: u64,
}

impl EventSplitter {
    /// Creates a splitter that expects the event after `last_id`, the last one that the caller received. If it is None, the
    /// stream may start at any id.
    pub(super) fn resuming_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Adds bytes of the stream and appends the events that are complete to `out`.
    pub(super) fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), EventError> {
        self.partial.extend_from_slice(bytes);
        while let Some(len) = event_len(&self.partial, self.searched) {
            self.check(len)?;
            out.extend_from_slice(&self.partial[..len]);
            self.partial.drain(..len);
            self.searched = 0;
            self.forwarded += 1;
        }
        self.searched = self.partial.len();
        Ok(())
    }

    /// Discards an incomplete event. The next event must follow the last complete one.
    pub(super) fn discard_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    /// Returns whether all bytes so far belong to complete events.
    pub(super) fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the number of bytes of the incomplete event.
    pub(super) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns the id of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of forwarded events.
    pub(super) fn forwarded(&self) -> u64 {
        self.forwarded
    }

    fn check(&mut self, len: usize) -> Result<(), EventError> {
        let id = event_id(&self.partial[..len]).ok_or(EventError::Malformed)?;
        let follows = match self.last_id {
            Some(last) => last.checked_add(1) == Some(id),
            None => true,
        };
        if !follows {
            return Err(EventError::OutOfOrder);
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// The length of the longest sequence that ends an event, in bytes.
const LONGEST_END_BYTES: usize = 4;

/// Returns the length of the first event, including the empty line that ends it, or None if the event is incomplete. The
/// first `searched` bytes contain no end of an event.
fn event_len(bytes: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(LONGEST_END_BYTES - 1);
    let end = |pattern: &[u8]| {
        let found = bytes[from..].windows(pattern.len()).position(|window| window == pattern);
        found.map(|i| from + i + pattern.len())
    };
    match (end(b"\n\n"), end(b"\r\n\r\n")) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
