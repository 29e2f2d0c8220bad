//! The orders that an instance has sent, as far as its later decisions depend on them.

use std::collections::HashMap;

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

use crate::rank_state::REPORT_LAG_MS;

/// When this instance last sent orders to each group.
///
/// The ranks report their states some time after the fact, each with another delay. States from right after an order do not
/// show at which ranks it has taken effect: a switch whose ranks are all armed looks like one that was left unfinished.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    groups: HashMap<String, GroupOrders>,
}

/// The orders to one group.
#[derive(Clone, Copy, Debug)]
struct GroupOrders {
    /// The epoch that the orders name. They have no effect in another one.
    epoch: u64,
    /// The time from which on the reported states show the effects of the orders.
    reported_from: Timestamp,
}

impl OrderHistory {
    /// Records that orders for `epoch` of `group` were sent until `at`.
    pub fn record(&mut self, group: &str, epoch: u64, at: Timestamp) {
        let orders = GroupOrders { epoch, reported_from: at.plus_millis(REPORT_LAG_MS) };
        self.groups.insert(group.to_owned(), orders);
    }

    /// Returns whether states of `epoch` of `group` that are read at `at` show the effects of all orders.
    pub fn is_reported(&self, group: &str, epoch: u64, at: Timestamp) -> bool {
        let orders = self.groups.get(group).filter(|orders| orders.epoch == epoch);
        !is_mechanism_enabled("wait-for-reports") || orders.is_none_or(|orders| orders.reported_from <= at)
    }
}
