//! Frames on their way to the socket.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use fuchsiabay_wire::Frame;

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Decides once whether a frame is handed to the socket or withdrawn, so that a caller that gives up can know that its
/// request will never be written.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteTicket(Arc<AtomicU8>);

impl WriteTicket {
    /// Claims the frame for the socket. Returns whether it may be written.
    pub(crate) fn start_write(&self) -> bool {
        self.decide(WRITTEN)
    }

    /// Withdraws the frame. Returns whether it can no longer be written.
    pub(crate) fn withdraw(&self) -> bool {
        self.decide(WITHDRAWN)
    }

    fn decide(&self, outcome: u8) -> bool {
        match self.0.compare_exchange(QUEUED, outcome, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(decided) => decided == outcome,
        }
    }
}

/// A frame and, for requests, its ticket.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) frame: Frame,
    pub(crate) ticket: Option<WriteTicket>,
}

impl Outgoing {
    pub(crate) fn plain(frame: Frame) -> Self {
        Self { frame, ticket: None }
    }

    /// Returns whether the frame may still be written.
    pub(crate) fn start_write(&self) -> bool {
        self.ticket.as_ref().is_none_or(WriteTicket::start_write)
    }
}
