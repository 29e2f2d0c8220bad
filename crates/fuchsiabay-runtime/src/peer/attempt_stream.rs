//! Receives the frames of one attempt.

use fuchsiabay_base::AttemptId;
use fuchsiabay_wire::{End, Tokens};
use smol::channel::Receiver;

use crate::Peer;

/// A received frame of an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// A batch of tokens.
    Tokens(Tokens),
    /// The end of the attempt.
    End(Box<End>),
}

/// The incoming frames of one attempt. Dropping it unregisters the attempt; frames that arrive later are discarded.
#[derive(Debug)]
pub struct AttemptStream {
    pub(crate) attempt: AttemptId,
    pub(crate) rx: Receiver<AttemptEvent>,
    pub(crate) peer: Peer,
}

impl AttemptStream {
    /// Waits for the next frame. Returns `None` if the connection was lost or this receiver fell too far behind.
    pub async fn next(&self) -> Option<AttemptEvent> {
        self.rx.recv().await.ok()
    }

    /// Returns the next frame if one is buffered.
    pub fn try_next(&self) -> Option<AttemptEvent> {
        self.rx.try_recv().ok()
    }
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        self.peer.unregister(self.attempt);
    }
}
