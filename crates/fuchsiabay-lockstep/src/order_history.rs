//! The orders that an instance has sent, as far as its later decisions depend on them.

use std::collections::HashMap;

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

use crate::{LeaseTerm, Order, rank_state::REPORT_LAG_MS, switch::next_version};

/// What this instance has ordered each group to do, and when.
///
/// The ranks report their states some time after the fact, each with another delay. States from right after an order do not
/// show at which ranks it has taken effect: a switch whose ranks are all armed looks like one that was left unfinished.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    groups: HashMap<String, GroupOrders>,
}

/// The orders to one group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupOrders {
    /// The epoch that the last orders name. They have no effect in another one.
    epoch: u64,
    /// The time from which on the reported states show the effects of the orders.
    reported_from: Timestamp,
    /// The last version that was chosen for a layout.
    version: u64,
    /// The last step that a hold order named in this epoch.
    held_step: u64,
}

impl OrderHistory {
    /// Records that orders for `epoch` of `group` were sent until `at`.
    pub fn record(&mut self, group: &str, epoch: u64, at: Timestamp) {
        self.orders_in(group, epoch).reported_from = at.plus_millis(REPORT_LAG_MS);
    }

    /// Records the steps that `orders` for `epoch` of `group` hold, before the orders are sent.
    pub fn record_holds<'a>(&mut self, group: &str, epoch: u64, orders: impl Iterator<Item = &'a Order>) {
        let held =
            orders.filter_map(|order| if let Order::Hold { step } = order { Some(*step) } else { None });
        let orders = self.orders_in(group, epoch);
        orders.held_step = held.fold(orders.held_step, u64::max);
    }

    /// Returns the orders to `group`. Steps of another epoch than `epoch` are forgotten.
    fn orders_in(&mut self, group: &str, epoch: u64) -> &mut GroupOrders {
        let orders = self.groups.entry(group.to_owned()).or_default();
        if orders.epoch != epoch {
            (orders.epoch, orders.held_step) = (epoch, 0);
        }
        orders
    }

    /// Returns the last step of `epoch` of `group` that this instance has ordered to hold. A release order for it may be
    /// executed seconds later, so it must not be held again.
    pub fn last_held_step(&self, group: &str, epoch: u64) -> u64 {
        let orders = self.groups.get(group).filter(|orders| orders.epoch == epoch);
        orders.map_or(0, |orders| orders.held_step)
    }

    /// Returns whether states of `epoch` of `group` that are read at `at` show the effects of all orders.
    pub fn is_reported(&self, group: &str, epoch: u64, at: Timestamp) -> bool {
        let orders = self.groups.get(group).filter(|orders| orders.epoch == epoch);
        !is_mechanism_enabled("wait-for-reports") || orders.is_none_or(|orders| orders.reported_from <= at)
    }

    /// Chooses the version of the next layout of `group` in `term`. It is above `reported`, the highest version that a rank
    /// reports, and above those chosen before, which a rank does not report before it has copied its experts.
    pub fn choose_version(&mut self, group: &str, reported: u64, term: LeaseTerm) -> u64 {
        let orders = self.groups.entry(group.to_owned()).or_default();
        orders.version = next_version(reported.max(orders.version), term);
        orders.version
    }
}
