//! A signal from one task to another.

use smol::channel::{Receiver, Sender, bounded};

/// Wakes a task that waits for it. Signals that are sent before the task waits again count as one.
#[derive(Debug)]
pub(crate) struct Signal {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        let (tx, rx) = bounded(1);
        Self { tx, rx }
    }
}

impl Signal {
    pub(crate) fn send(&self) {
        // A full channel means that the task will be woken.
        let _ = self.tx.try_send(());
    }

    pub(crate) async fn wait(&self) {
        // The channel stays open as long as this value, which owns both ends.
        let _ = self.rx.recv().await;
    }
}
