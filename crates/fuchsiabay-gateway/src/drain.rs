//! The last seconds of a gateway.

use std::sync::OnceLock;

use fuchsiabay_base::Timestamp;
use smol::channel::{Receiver, Sender};

/// Tells the tasks that the gateway is about to stop.
#[derive(Debug)]
pub(crate) struct Drain {
    /// From when new requests are refused. Unset until the drain starts.
    refuse_at: OnceLock<Timestamp>,
    /// Closed when the drain starts, which wakes every task that waits for it.
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

    /// Returns whether a request that arrives at `now` must be refused.
    pub(crate) fn refuses(&self, now: Timestamp) -> bool {
        self.refuse_at.get().is_some_and(|at| *at <= now)
    }

    /// Waits until the drain starts.
    pub(crate) async fn started(&self) {
        // Nothing is ever sent, so the only way out is the close.
        let _ = self.rx.recv().await;
    }
}
