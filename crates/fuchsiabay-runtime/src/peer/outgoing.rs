//! Frames in the queue to the socket.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use fuchsiabay_wire::Frame;

const QUEUED: u8 = 0;
const WRITE_STARTED: u8 = 1;
const CANCELLED: u8 = 2;

/// Tracks whether a frame is queued, being written to the socket or cancelled. A frame leaves the queued state only
/// once and atomically, so a caller that gives up knows whether its request can still be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteState(Arc<AtomicU8>);

impl WriteState {
    /// Marks the frame as being written, after which it cannot be cancelled. Returns false if it was cancelled before.
    pub(crate) fn start_write(&self) -> bool {
        self.transition_to(WRITE_STARTED)
    }

    /// Cancels the frame. Returns false if its write started before.
    pub(crate) fn cancel(&self) -> bool {
        self.transition_to(CANCELLED)
    }

    fn transition_to(&self, state: u8) -> bool {
        match self.0.compare_exchange(QUEUED, state, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(current) => current == state,
        }
    }
}

/// A queued frame and, for requests, its write state. Other frames cannot be cancelled.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) frame: Frame,
    pub(crate) write_state: Option<WriteState>,
}

impl Outgoing {
    pub(crate) fn non_cancellable(frame: Frame) -> Self {
        Self { frame, write_state: None }
    }

    /// Marks the frame as being written, after which it cannot be cancelled. Returns false if it was cancelled before.
    pub(crate) fn start_write(&self) -> bool {
        self.write_state.as_ref().is_none_or(WriteState::start_write)
    }
}
