//! Recovery from a hold or armed ranks that a previous coordinator left behind.

use fuchsiabay_base::is_mechanism_enabled;

use crate::{Order, RankState};

/// What a coordinator must do before its first switch of a group that it takes over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing, because no switch is unfinished.
    Clean,
    /// Send these orders in sequence, then read the states again.
    Orders(Vec<(usize, Order)>),
}

impl Recovery {
    /// Derives the recovery from the states of all ranks, indexed by rank.
    ///
    /// A held switch whose ranks are all prepared is completed, because that needs no assumption about delayed orders: an
    /// arm order that is executed late is identical to the one sent here. Otherwise the armed ranks are disarmed.
    pub fn from_states(states: &[RankState]) -> Self {
        let held = states.iter().enumerate().find_map(|(rank, state)| state.held.map(|step| (rank, step)));
        let armed = states.iter().find_map(|state| state.armed);
        match (held, armed) {
            _ if !is_mechanism_enabled("settle-first") => Self::Clean,
            (None, None) => Self::Clean,
            // The switch is decided: the hold was released, and all ranks switch at the armed step.
            (None, Some(armed)) if states.iter().all(|state| state.armed == Some(armed)) => Self::Clean,
            (Some((rank, step)), None) => Self::Orders(vec![(rank, Order::Release { step })]),
            (held, Some(armed)) => {
                let step = armed.step.or(held.map(|(_, step)| step));
                let is_prepared = |state: &RankState| {
                    state.prepared == Some(armed.version)
                        || state.armed.is_some_and(|a| a.version == armed.version)
                };
                let can_complete = held.is_some() && states.iter().all(is_prepared);
                let orders = match step {
                    Some(step) if can_complete => complete_switch(states, armed.version, step, held),
                    _ => roll_back(states, held),
                };
                Self::Orders(orders)
            }
        }
    }
}

fn complete_switch(
    states: &[RankState],
    version: u64,
    step: u64,
    held: Option<(usize, u64)>,
) -> Vec<(usize, Order)> {
    let unarmed = states.iter().enumerate().filter(|(_, state)| state.armed.is_none());
    let mut orders: Vec<_> = unarmed.map(|(rank, _)| (rank, Order::Arm { version, step })).collect();
    // The step is released only after the states have been read again and show that every rank is armed.
    if orders.is_empty()
        && let Some((rank, step)) = held
    {
        orders.push((rank, Order::Release { step }));
    }
    orders
}

fn roll_back(states: &[RankState], held: Option<(usize, u64)>) -> Vec<(usize, Order)> {
    let armed =
        states.iter().enumerate().filter_map(|(rank, state)| state.armed.map(|armed| (rank, armed.version)));
    let orders: Vec<_> = armed.map(|(rank, version)| (rank, Order::Disarm { version })).collect();
    match held {
        Some((rank, step)) if orders.is_empty() => vec![(rank, Order::Release { step })],
        _ => orders,
    }
}
