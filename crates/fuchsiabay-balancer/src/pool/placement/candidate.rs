//! A server that may run a request.

use fuchsiabay_base::ZoneName;

/// A server to which a request may be sent as soon as one of its slots is free.
#[derive(Clone, Copy, Debug)]
pub(in crate::pool) struct Candidate<'a> {
    /// The index of the server in the pool.
    pub(in crate::pool) member: usize,
    pub(in crate::pool) zone: &'a ZoneName,
    pub(in crate::pool) is_in_own_zone: bool,
    /// The estimated number of requests at the server.
    pub(in crate::pool) load: u32,
    /// The number of requests up to which the server gets more.
    pub(in crate::pool) slots: u32,
    /// The factor by which the server is slower than usual.
    pub(in crate::pool) slowdown: f64,
    /// The tokens of this instance's requests at the server.
    pub(in crate::pool) own_tokens: u64,
    /// Whether the server is processing the prompt of one of this instance's requests.
    pub(in crate::pool) has_own_prefill: bool,
    /// The position of this instance among those that prefer the server.
    pub(in crate::pool) preference: usize,
}

impl Candidate<'_> {
    pub(in crate::pool) const fn has_free_slot(&self) -> bool {
        self.load < self.slots
    }

    /// Returns the relative time that the server would need with one more request.
    pub(super) fn cost(&self) -> f64 {
        (f64::from(self.load) + 1.0) * self.slowdown
    }

    /// Returns the cost in hundredths, as a sort key.
    pub(super) fn rounded_cost(&self) -> u64 {
        (self.cost() * 100.0) as u64
    }
}
