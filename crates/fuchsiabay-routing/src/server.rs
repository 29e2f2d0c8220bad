//! A backend server as a target of attempts.

use fuchsiabay_base::{Timestamp, WriterId, ZoneName, is_mechanism_enabled};
use fuchsiabay_wire::LoadReport;
use parking_lot::Mutex;

use crate::Load;

/// One incarnation of a backend server's agent. `H` is the owner's handle for reaching it.
///
/// An instance that rejoins under the same id is a new `Server`, so that it inherits neither load nor penalties.
#[derive(Debug)]
pub struct Server<H> {
    id: WriterId,
    zone: ZoneName,
    handle: H,
    load: Mutex<Load>,
}

impl<H> Server<H> {
    pub(crate) fn new(id: WriterId, zone: ZoneName, handle: H) -> Self {
        Self { id, zone, handle, load: Mutex::default() }
    }

    /// Returns the instance and its incarnation.
    pub fn id(&self) -> &WriterId {
        &self.id
    }

    /// Returns the availability zone.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the owner's handle for reaching the server.
    pub fn handle(&self) -> &H {
        &self.handle
    }

    /// Returns a copy of the last known load.
    pub fn load(&self) -> Load {
        *self.load.lock()
    }

    /// Applies a load report. A report of another incarnation is ignored.
    pub fn apply_report(&self, report: LoadReport, now: Timestamp) {
        if report.generation == self.id.generation || !is_mechanism_enabled("generation-check") {
            self.load.lock().apply(report, now);
        }
    }

    /// Counts an attempt that was just sent.
    pub fn count_send(&self, tokens: u32) {
        let mut load = self.load.lock();
        load.sent_attempts += 1;
        load.sent_tokens += u64::from(tokens);
    }

    /// Skips the server until `deadline`, because it refused or failed.
    pub fn skip_until(&self, deadline: Timestamp) {
        let mut load = self.load.lock();
        load.skip_until = load.skip_until.max(deadline);
    }

    /// Records whether a connection to the agent is open.
    pub fn set_connected(&self, connected: bool) {
        self.load.lock().connected = connected;
    }

    /// Records a measured time between two tokens, in microseconds.
    pub fn record_inter_token_us(&self, inter_token_us: u64) {
        self.load.lock().record_inter_token_us(inter_token_us);
    }

    pub(crate) fn set_straggler(&self, straggler: bool) {
        self.load.lock().straggler = straggler;
    }
}
