//! Frames in the queue to the socket.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use fuchsiabay_wire::Frame;

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Settles atomically whether a frame is written to the socket or withdrawn, so that a caller that gives up knows
/// whether its request can still be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteTicket(Arc<AtomicU8>);

impl WriteTicket {
    /// Claims the frame for writing. Returns false if it was withdrawn before.
    pub(crate) fn start_write(&self) -> bool {
        self.settle(WRITTEN)
    }

    /// Withdraws the frame. Returns false if it was claimed for writing before.
    pub(crate) fn withdraw(&self) -> bool {
        self.settle(WITHDRAWN)
    }

    fn settle(&self, outcome: u8) -> bool {
        match self.0.compare_exchange(QUEUED, outcome, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(settled) => settled == outcome,
        }
    }
}

/// A queued frame and, for requests, its write ticket.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) frame: Frame,
    pub(crate) ticket: Option<WriteTicket>,
}

impl Outgoing {
    pub(crate) fn without_ticket(frame: Frame) -> Self {
        Self { frame, ticket: None }
    }

    /// Claims the frame for writing. Returns false if it was withdrawn before.
    pub(crate) fn start_write(&self) -> bool {
        self.ticket.as_ref().is_none_or(WriteTicket::start_write)
    }
}
