//! Sends the orders that end an unfinished switch.

use std::sync::Arc;

use fuchsiabay_balancer::ServerRecord;
use fuchsiabay_lockstep::{ExpertLayout, OrderHistory, Recovery, ReplacementLayout};
use fuchsiabay_runtime::monotonic_now;

use super::{EngineControl, orders::send_all};
use crate::gateway::Gateway;

/// A group with an unfinished switch.
pub(super) struct RecoveredGroup<'a> {
    pub(super) name: &'a str,
    pub(super) epoch: u64,
    /// The servers in the order of their ranks.
    pub(super) ranks: &'a [Arc<ServerRecord>],
    /// The layout in use. None if the ranks have different ones.
    pub(super) layout: Option<&'a ExpertLayout>,
    /// The highest map version that a rank is known to have had or prepared.
    pub(super) map_version: u64,
}

/// Sends the orders of `recovery`. The states of the ranks must be read again afterwards.
pub(super) async fn recover<E: EngineControl>(
    gateway: &Gateway,
    engines: &Arc<E>,
    group: &RecoveredGroup<'_>,
    recovery: &Recovery,
    history: &mut OrderHistory,
) {
    let lease = gateway.coordinator_lease();
    if !lease.is_held() {
        return;
    }
    let replacement = group.layout.map(|layout| ReplacementLayout {
        version: history.choose_version(group.name, group.map_version, lease.term()),
        layout: Arc::new(layout.clone()),
    });
    let mut run = recovery.start(replacement.as_ref());
    loop {
        let orders = run.orders();
        if orders.is_empty() || !lease.is_held() {
            return;
        }
        for (rank, order) in &orders {
            log::warn!(
                group = group.name, epoch = group.epoch, rank = *rank, order = order.as_str();
                "group: resolving an unfinished switch"
            );
        }
        history.record_holds(group.name, group.epoch, orders.iter().map(|(_, order)| order));
        let replies = send_all(lease, engines, group.ranks, group.epoch, orders).await;
        history.record(group.name, group.epoch, monotonic_now());
        let replies: Vec<_> = replies.into_iter().map(|(_, _, reply)| reply).collect();
        run.handle_replies(&replies);
    }
}
