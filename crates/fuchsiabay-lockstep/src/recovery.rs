//! What to do with a hold or armed ranks that a former coordinator left behind.

use fuchsiabay_base::is_mechanism_enabled;

use crate::{Order, RankState};

/// The state of a group that a coordinator takes over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing was left behind.
    Clean,
    /// These orders must be carried out, in this order, and the states read again.
    Orders(Vec<(usize, Order)>),
}

impl Recovery {
    /// Decides from the states of all ranks, by rank.
    ///
    /// A switch whose ranks are all prepared is completed, because that needs no assumption about late orders: an arm order
    /// that is carried out late is the one that is sent here, too. Otherwise the armed ranks are disarmed.
    pub fn from_states(states: &[RankState]) -> Self {
        let held = states.iter().enumerate().find_map(|(rank, state)| state.held.map(|step| (rank, step)));
        let armed = states.iter().find_map(|state| state.armed);
        match (held, armed) {
            _ if !is_mechanism_enabled("settle-first") => Self::Clean,
            (None, None) => Self::Clean,
            // The switch was released and waits for its step.
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
                    Some(step) if can_complete => complete(states, armed.version, step, held),
                    _ => take_back(states, held),
                };
                Self::Orders(orders)
            }
        }
    }
}

fn complete(
    states: &[RankState],
    version: u64,
    step: u64,
    held: Option<(usize, u64)>,
) -> Vec<(usize, Order)> {
    let unarmed = states.iter().enumerate().filter(|(_, state)| state.armed.is_none());
    let mut orders: Vec<_> = unarmed.map(|(rank, _)| (rank, Order::Arm { version, step })).collect();
    // The step is released only once the states, read again, show that every rank is armed.
    if orders.is_empty()
        && let Some((rank, step)) = held
    {
        orders.push((rank, Order::Release { step }));
    }
    orders
}

fn take_back(states: &[RankState], held: Option<(usize, u64)>) -> Vec<(usize, Order)> {
    let armed =
        states.iter().enumerate().filter_map(|(rank, state)| state.armed.map(|armed| (rank, armed.version)));
    let orders: Vec<_> = armed.map(|(rank, version)| (rank, Order::Disarm { version })).collect();
    match held {
        Some((rank, step)) if orders.is_empty() => vec![(rank, Order::Release { step })],
        _ => orders,
    }
}
