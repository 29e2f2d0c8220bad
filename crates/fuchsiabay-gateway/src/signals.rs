//! Signals of the daemon.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// Read the settings file again.
    Reload,
    /// Stop, but finish what was accepted.
    Drain,
}

/// The signals that the daemon handles.
pub(crate) struct SignalListener(Signals);

impl SignalListener {
    /// Takes over SIGTERM, SIGINT and SIGHUP. A process without a handler would end at a SIGHUP.
    pub(crate) fn new() -> io::Result<Self> {
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map(Self)
    }

    /// Waits for the next order.
    pub(crate) async fn next(&mut self) -> SignalAction {
        loop {
            match self.0.next().await {
                Some(Ok(Signal::Hup)) => return SignalAction::Reload,
                Some(Ok(_)) => return SignalAction::Drain,
                Some(Err(error)) => log::warn!("signals: cannot read a signal: {error}"),
                None => futures_lite::future::pending().await,
            }
        }
    }
}
