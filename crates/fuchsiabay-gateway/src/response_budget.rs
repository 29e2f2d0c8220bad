//! The memory that buffered responses may use together.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The maximum number of bytes of all responses that are buffered at the same time. Their buffers take up to twice as much,
/// a fifth of the memory of a small instance.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// The bytes of all responses that are buffered at the moment.
///
/// Each response is limited as well, but servers that send without end could use up the memory together.
#[derive(Debug, Default)]
pub(crate) struct ResponseBudget {
    used: AtomicUsize,
}

/// The bytes that one response holds. Dropping the lease frees them.
#[derive(Debug)]
pub(crate) struct BufferLease<'a> {
    budget: &'a ResponseBudget,
    bytes: usize,
}

impl ResponseBudget {
    /// Returns a lease without bytes.
    pub(crate) const fn lease(&self) -> BufferLease<'_> {
        BufferLease { budget: self, bytes: 0 }
    }
}

impl BufferLease<'_> {
    /// Extends the lease to `bytes`. Returns whether the budget allows it.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        self.bytes += added;
        self.budget.used.fetch_add(added, Ordering::Relaxed) + added <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BufferLease<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
