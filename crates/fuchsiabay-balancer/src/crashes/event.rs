//! What the ledger learned, for logs and metrics.

use fuchsiabay_base::Fingerprint;

use super::{Incarnation, Occupancy, Quarantine};

/// The maximum number of events that are kept until they are taken. The oldest ones are dropped.
const MAX_EVENTS: usize = 256;

/// Something that the ledger learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEvent {
    /// A server has responded after the loss of its connections, so it did not crash.
    Refuted {
        /// The server.
        incarnation: Incarnation,
        /// The number of suspects of its loss.
        suspects: usize,
    },
    /// A crash has too many suspects, and some of them were not kept.
    Dropped {
        /// The server.
        incarnation: Incarnation,
        /// The number of suspects that were not kept.
        suspects: usize,
    },
    /// A server has not responded for so long after the loss of its connections that it counts as crashed.
    Counted {
        /// The server.
        incarnation: Incarnation,
        /// The number of suspects of its crash.
        suspects: usize,
    },
    /// Something is refused from now on.
    Quarantined(Quarantine),
    /// Something that was refused is served again before its quarantine has ended.
    Released(Quarantine),
    /// A request is served although enough servers crashed under it, because servers run and survive it so often that chance
    /// explains these crashes.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// The number of crashes under it.
        crashes: u32,
        /// The part of the servers that run it and survive.
        occupancy: Occupancy,
    },
}

/// The events that have not been taken yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Events(Vec<CrashEvent>);

impl Events {
    pub(super) fn push(&mut self, event: CrashEvent) {
        if self.0.len() >= MAX_EVENTS {
            self.0.remove(0);
        }
        self.0.push(event);
    }

    pub(super) fn take(&mut self) -> Vec<CrashEvent> {
        std::mem::take(&mut self.0)
    }
}
