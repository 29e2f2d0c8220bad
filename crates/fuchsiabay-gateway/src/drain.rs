//! Graceful shutdown: refuses new requests while accepted ones finish.

use std::sync::OnceLock;

use fuchsiabay_base::Timestamp;
use smol::channel::{Receiver, Sender};

/// Notifies the tasks of a shutdown.
#[derive(Debug)]
pub(crate) struct Drain {
    /// Time from which new requests are refused. Unset until the drain starts.
    refuse_at: OnceLock<Timestamp>,
    /// Closed when the drain starts, to wake all tasks that wait for it.
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for Drain {
    fn default() -> Self {
        let (tx, rx) = smol::channel::bounded(1);
        Self { refuse_at: OnceLock::new(), tx, rx }
    }
}

impl Drain {
    /// Starts the drain. New requests are refused from `refuse_at` on.
    pub(crate) fn start(&self, refuse_at: Timestamp) {
        self.refuse_at.get_or_init(|| refuse_at);
        self.tx.close();
    }

    pub(crate) fn is_started(&self) -> bool {
        self.refuse_at.get().is_some()
    }

    /// Returns whether a request that arrives at `now` is refused.
    pub(crate) fn refuses(&self, now: Timestamp) -> bool {
        self.refuse_at.get().is_some_and(|at| *at <= now)
    }

    /// Waits until the drain starts.
    pub(crate) async fn started(&self) {
        // No message is ever sent, so this returns only when the channel is closed.
        let _ = self.rx.recv().await;
    }
}
