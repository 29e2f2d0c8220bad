//! Graceful shutdown: refuses new requests that may not finish, while accepted ones do.

use std::sync::OnceLock;

use fuchsiabay_base::Timestamp;
use smol::channel::{Receiver, Sender};

/// The minimum time before the stop at which a request is still sent to a server, in milliseconds. Most streams last one to two
/// seconds.
const MIN_RUN_MS: u64 = 2_000;

/// When a shutdown refuses requests.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// From when on new requests are refused unless they end before the stop.
    refuse_at: Timestamp,
    /// When the requests that still run are ended.
    stop_at: Timestamp,
}

impl Schedule {
    /// Returns whether a request with this deadline has ended at the stop, whatever its server does.
    fn covers(&self, deadline: Timestamp) -> bool {
        deadline <= self.stop_at
    }
}

/// Notifies the tasks of a shutdown.
#[derive(Debug)]
pub(crate) struct Drain {
    /// Unset until the drain starts.
    schedule: OnceLock<Schedule>,
    started: Signal,
    ended: Signal,
}

impl Default for Drain {
    fn default() -> Self {
        Self { schedule: OnceLock::new(), started: Signal::new(), ended: Signal::new() }
    }
}

impl Drain {
    /// Starts the drain. New requests are refused from `refuse_at` on if they may last beyond `stop_at`, at which those that still
    /// run are ended.
    pub(crate) fn start(&self, refuse_at: Timestamp, stop_at: Timestamp) {
        self.schedule.get_or_init(|| Schedule { refuse_at, stop_at });
        self.started.set();
    }

    /// Ends the requests that still run.
    pub(crate) fn end(&self) {
        self.ended.set();
    }

    pub(crate) fn is_started(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Returns whether a request that was completely read at `now` is refused.
    pub(crate) fn refuses(&self, now: Timestamp, deadline: Timestamp) -> bool {
        self.schedule.get().is_some_and(|schedule| schedule.refuse_at <= now && !schedule.covers(deadline))
    }

    /// Returns whether a request that was accepted may be sent to a server, because it ends before the stop, at least probably.
    pub(crate) fn may_send(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let may_send = |schedule: &Schedule| {
            schedule.covers(deadline) || now.plus_millis(MIN_RUN_MS) <= schedule.stop_at
        };
        self.schedule.get().is_none_or(may_send)
    }

    /// Waits until the drain starts.
    pub(crate) async fn started(&self) {
        self.started.wait().await;
    }

    /// Waits until the requests that still run must end, and returns an error for them.
    pub(crate) async fn ended<T, E>(&self, error: E) -> Result<T, E> {
        self.ended.wait().await;
        Err(error)
    }
}

/// Wakes all tasks that wait for something that happens once.
#[derive(Debug)]
struct Signal {
    /// Closed when it happens. No message is ever sent.
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Signal {
    fn new() -> Self {
        let (tx, rx) = smol::channel::bounded(1);
        Self { tx, rx }
    }

    fn set(&self) {
        self.tx.close();
    }

    async fn wait(&self) {
        let _ = self.rx.recv().await;
    }
}
