//! Events, which change the state of the gate.

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};

use super::{GateCommand, OrderGate, Outstanding, RETRY_DELAY_MS, SendOutcome};
use crate::{EngineState, Order, OrderRefusal};

impl OrderGate {
    /// Puts an order in force, unless its fencing token is old or repeated. It replaces the order of the same kind.
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

    /// Returns the next command. `None` until [`OrderGate::next_deadline`] or the next event.
    pub fn next_command(&mut self, now: Timestamp) -> Option<GateCommand> {
        if self.outstanding.is_some() || now < self.retry_at || self.refused_fence.is_some() {
            return None;
        }
        let Some(engine) = &self.engine else {
            // Without an unexpired order, there is nothing to compare the state with.
            self.targets.values().find(|order| now < order.deadline)?;
            self.outstanding = Some(Outstanding::Read);
            self.read_invalidated = false;
            return Some(GateCommand::ReadBack);
        };
        let order = self.oldest_unmet_order(engine, now)?.clone();
        // Every order in force is sent with the newest token, which states the authority to send. An engine that
        // checks tokens would refuse the older token of an order that is repeated after a restart.
        let fence = self.high_water.unwrap_or(order.fence);
        invariant!(
            "order-deadline",
            now < order.deadline || !is_mechanism_enabled("order-deadline"),
            "sent at {now}, deadline {}",
            order.deadline
        );
        invariant!(
            "order-fence",
            fence >= self.last_sent_fence,
            "token {fence} after {}",
            self.last_sent_fence
        );
        self.last_sent_fence = fence;
        self.outstanding = Some(Outstanding::Send { kind: order.kind, target: order.target.clone() });
        Some(GateCommand::Send(Order { fence, ..order }))
    }

    /// Handles the outcome of the outstanding send.
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
            SendOutcome::Stale if self.high_water == Some(self.last_sent_fence) => {
                self.refused_fence = Some(self.last_sent_fence);
            }
            // A newer order was accepted meanwhile, and its token is tried next.
            SendOutcome::Stale => {}
            SendOutcome::NotApplied => self.retry_at = now.plus_millis(RETRY_DELAY_MS),
            SendOutcome::Unknown if !is_mechanism_enabled("order-read-back") => {
                if let Some(engine) = &mut self.engine {
                    engine.values.insert(kind, target);
                }
            }
            SendOutcome::Unknown => {
                self.engine = None;
                self.retry_at = now.plus_millis(RETRY_DELAY_MS);
            }
        }
    }

    /// Handles the result of the outstanding read-back.
    pub fn state_read(&mut self, state: EngineState) {
        if self.take_outstanding("read-back").is_some() {
            self.engine = (!self.read_invalidated).then_some(state);
        }
    }

    /// Handles a failure of the outstanding read-back.
    pub fn read_failed(&mut self, now: Timestamp) {
        if self.take_outstanding("read-back").is_some() {
            self.retry_at = now.plus_millis(RETRY_DELAY_MS);
        }
    }

    /// Invalidates the known state of the engine, because the engine restarted or may have been changed. The state is
    /// read again before the next order is sent. A send in flight stays outstanding until its outcome is reported.
    pub fn invalidate_engine_state(&mut self) {
        self.engine = None;
        self.read_invalidated = true;
        self.refused_fence = None;
    }

    fn take_outstanding(&mut self, command: &str) -> Option<Outstanding> {
        let outstanding = self.outstanding.take();
        invariant!(
            "order-outstanding",
            outstanding.is_some(),
            "the outcome of a {command} that is not outstanding"
        );
        outstanding
    }
}
