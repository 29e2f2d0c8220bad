//! Events of a stream.

/// Why a part of a stream cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventError {
    /// An event does not follow the one before it.
    OutOfOrder,
    /// What came is no event.
    Malformed,
}

/// The longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a stream into whole events and checks their order.
///
/// Invariant: what was passed on is a sequence of whole events without gap or repetition, across all servers that
/// contributed to it.
#[derive(Clone, Debug, Default)]
pub(super) struct Events {
    /// The bytes of an event that is not whole yet.
    partial: Vec<u8>,
    last_id: Option<u64>,
    passed: u64,
}

impl Events {
    /// Starts after the event `last_id`, which the caller has.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Takes bytes of the stream and appends the whole events to `out`.
    pub(super) fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), EventError> {
        self.partial.extend_from_slice(bytes);
        while let Some(len) = event_len(&self.partial) {
            self.check(len)?;
            out.extend_from_slice(&self.partial[..len]);
            self.partial.drain(..len);
            self.passed += 1;
        }
        if self.partial.len() > MAX_EVENT_BYTES { Err(EventError::Malformed) } else { Ok(()) }
    }

    /// Drops the bytes of an event that will not become whole. The next event must follow the last whole one.
    pub(super) fn restart(&mut self) {
        self.partial.clear();
    }

    /// Returns whether the stream stands between two events.
    pub(super) fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the id of the last whole event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events that were passed on.
    pub(super) fn passed(&self) -> u64 {
        self.passed
    }

    fn check(&mut self, len: usize) -> Result<(), EventError> {
        let id = event_id(&self.partial[..len]).ok_or(EventError::Malformed)?;
        let follows = match self.last_id {
            Some(last) => id == last + 1,
            None => true,
        };
        if !follows {
            return Err(EventError::OutOfOrder);
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// Returns the length of the first event with the empty line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let end = |pattern: &[u8]| {
        bytes.windows(pattern.len()).position(|window| window == pattern).map(|i| i + pattern.len())
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
