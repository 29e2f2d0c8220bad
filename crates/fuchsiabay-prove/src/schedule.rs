//! The event queue of a simulated world.

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;

use crate::Step;

/// Pending events by virtual time. Events of the same millisecond occur in the order in which they were added.
#[derive(Debug)]
pub(crate) struct Schedule<E> {
    events: BTreeMap<(Timestamp, u64), E>,
    now: Timestamp,
    added_events: u64,
}

impl<E> Schedule<E> {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self { events: BTreeMap::new(), now, added_events: 0 }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }

    pub(crate) fn at(&mut self, at: Timestamp, event: E) {
        self.added_events += 1;
        self.events.insert((at.max(self.now), self.added_events), event);
    }

    pub(crate) fn after(&mut self, ms: u64, event: E) {
        self.at(self.now.plus_millis(ms), event);
    }

    /// Adds the event that `action` returns for the number of each step.
    pub(crate) fn add_steps<A>(&mut self, steps: &[Step<A>], action: impl Fn(usize) -> E) {
        for (i, step) in steps.iter().enumerate() {
            self.after(step.at_ms, action(i));
        }
    }

    /// Removes the next event and advances the time to it, unless it is later than `end`.
    pub(crate) fn next(&mut self, end: Timestamp) -> Option<E> {
        let ((at, _), event) = self.events.pop_first()?;
        if at > end {
            return None;
        }
        self.now = at;
        Some(event)
    }
}
