//! Queries, which only read the state of the gate.

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

use super::OrderGate;
use crate::{EngineState, GateStatus, Order, TargetStatus};

impl OrderGate {
    /// Returns the highest fencing token accepted so far.
    pub fn high_water(&self) -> Option<u64> {
        self.high_water
    }

    /// Returns whether the engine is known to have the target value of every unexpired order in force.
    pub fn is_converged(&self, now: Timestamp) -> bool {
        match &self.engine {
            Some(engine) => self.outstanding.is_none() && self.oldest_unmet_order(engine, now).is_none(),
            None => self.targets.values().all(|order| order.deadline <= now),
        }
    }

    /// Returns when [`OrderGate::next_command`] may return a command if no event occurs before.
    pub fn next_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        (self.outstanding.is_none() && self.refused_fence.is_none() && !self.is_converged(now))
            .then_some(self.retry_at)
    }

    /// Returns the whole state, for the dump of the agent.
    pub fn status(&self, now: Timestamp) -> GateStatus {
        let targets = self.targets.values().map(|order| TargetStatus {
            order: order.clone(),
            reached: self.engine.as_ref().is_some_and(|engine| has_target(engine, order)),
            expired: order.deadline <= now,
        });
        GateStatus {
            high_water: self.high_water,
            targets: targets.collect(),
            engine: self.engine.clone(),
            outstanding: self.outstanding.is_some(),
            fenced_off: self.refused_fence.is_some(),
        }
    }

    /// Returns the oldest unexpired order whose target value the engine does not have.
    pub(super) fn oldest_unmet_order(&self, engine: &EngineState, now: Timestamp) -> Option<&Order> {
        let is_unexpired = |order: &Order| now < order.deadline || !is_mechanism_enabled("order-deadline");
        let unmet = self.targets.values().filter(|order| is_unexpired(order) && !has_target(engine, order));
        unmet.min_by_key(|order| order.fence)
    }
}

fn has_target(engine: &EngineState, order: &Order) -> bool {
    engine.values.get(&order.kind) == Some(&order.target)
}
