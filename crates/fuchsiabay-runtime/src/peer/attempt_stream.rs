//! The frames of one attempt.

use fuchsiabay_base::AttemptId;
use fuchsiabay_wire::{End, Tokens};
use smol::channel::Receiver;

use crate::Peer;

/// A frame of an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// Tokens arrived.
    Tokens(Tokens),
    /// The attempt ended.
    End(Box<End>),
}

/// Receives the frames of one attempt. Dropping it unregisters the attempt, and its late frames are discarded.
#[derive(Debug)]
pub struct AttemptStream {
    pub(crate) attempt: AttemptId,
    pub(crate) rx: Receiver<AttemptEvent>,
    pub(crate) peer: Peer,
}

impl AttemptStream {
    /// Waits for the next frame. `None` means that the connection was lost or that the receiver was too slow.
    pub async fn next(&self) -> Option<AttemptEvent> {
        self.rx.recv().await.ok()
    }

    /// Returns the next frame if it has arrived already.
    pub fn try_next(&self) -> Option<AttemptEvent> {
        self.rx.try_recv().ok()
    }
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        self.peer.unregister(self.attempt);
    }
}
