//! What changes the state of the gate.

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};

use super::{GateCommand, OrderGate, Outstanding, RETRY_MS, SendOutcome};
use crate::{EngineState, Order, OrderRefusal};

impl OrderGate {
    /// Puts an order in force, unless its token is old or repeated. It replaces the order of its kind.
    pub fn accept(&mut self, order: Order) -> Result<(), OrderRefusal> {
        if let Some(high_water) = self.high_water
            && order.fence <= high_water
            && is_mechanism_enabled("order-high-water")
        {
            return Err(OrderRefusal::Stale { high_water });
        }
        self.high_water = self.high_water.max(Some(order.fence));
        self.refused_fence = None;
        self.retry_at = Timestamp::ZERO;
        self.targets.insert(order.kind, order);
        Ok(())
    }

    /// Returns what to do next, or `None` until [`OrderGate::next_deadline`] or the next event.
    pub fn next_command(&mut self, now: Timestamp) -> Option<GateCommand> {
        if self.outstanding.is_some() || now < self.retry_at || self.refused_fence.is_some() {
            return None;
        }
        let Some(engine) = &self.engine else {
            // Without a live order there is nothing to compare the state with.
            self.targets.values().find(|order| now < order.deadline)?;
            self.outstanding = Some(Outstanding::Read);
            self.read_void = false;
            return Some(GateCommand::ReadBack);
        };
        let order = self.unmet(engine, now)?.clone();
        // The newest token goes with every order in force: it states the authority to send, and an engine that
        // checks tokens would refuse the older one of an order that is repeated after a restart.
        let fence = self.high_water.unwrap_or(order.fence);
        invariant!(
            "order-deadline",
            now < order.deadline || !is_mechanism_enabled("order-deadline"),
            "sent at {now}, deadline {}",
            order.deadline
        );
        invariant!("order-fence", fence >= self.sent_fence, "token {fence} after {}", self.sent_fence);
        self.sent_fence = fence;
        self.outstanding = Some(Outstanding::Send { kind: order.kind, target: order.target.clone() });
        Some(GateCommand::Send(Order { fence, ..order }))
    }

    /// Reports the outcome of the outstanding send.
    pub fn send_finished(&mut self, now: Timestamp, outcome: SendOutcome) {
        let Some(Outstanding::Send { kind, target }) = self.take_outstanding("send") else {
            return;
        };
        match outcome {
            SendOutcome::Applied => {
                if let Some(engine) = &mut self.engine {
                    engine.values.insert(kind, target);
                }
            }
            SendOutcome::Stale if self.high_water == Some(self.sent_fence) => {
                self.refused_fence = Some(self.sent_fence);
            }
            // A newer order arrived meanwhile, and its token is tried next.
            SendOutcome::Stale => {}
            SendOutcome::NotApplied => self.retry_at = now.plus_millis(RETRY_MS),
            SendOutcome::Unknown if !is_mechanism_enabled("order-read-back") => {
                if let Some(engine) = &mut self.engine {
                    engine.values.insert(kind, target);
                }
            }
            SendOutcome::Unknown => {
                self.engine = None;
                self.retry_at = now.plus_millis(RETRY_MS);
            }
        }
    }

    /// Reports the state of the engine.
    pub fn state_read(&mut self, state: EngineState) {
        if self.take_outstanding("read-back").is_some() {
            self.engine = (!self.read_void).then_some(state);
        }
    }

    /// Reports that the state of the engine could not be read.
    pub fn read_failed(&mut self, now: Timestamp) {
        if self.take_outstanding("read-back").is_some() {
            self.retry_at = now.plus_millis(RETRY_MS);
        }
    }

    /// Forgets what is known about the engine, because it restarted or may have been changed. The state is read
    /// again before anything is sent. An order in flight keeps its place until its outcome is reported.
    pub fn invalidate_engine_state(&mut self) {
        self.engine = None;
        self.read_void = true;
        self.refused_fence = None;
    }

    fn take_outstanding(&mut self, what: &str) -> Option<Outstanding> {
        let outstanding = self.outstanding.take();
        invariant!("order-outstanding", outstanding.is_some(), "the outcome of a {what} that was not given");
        outstanding
    }
}
