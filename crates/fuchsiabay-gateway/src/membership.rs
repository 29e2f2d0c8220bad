//! Maintains the membership of this instance among the entry instances and tracks the coordinator lease.

use std::{sync::Arc, time::Duration};

use fuchsiabay_lockstep::{LeaseTerm, MembershipHistory};
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use crate::{MembershipSource, coordinator_lease::boot_now, gateway::Gateway};

/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval until the next renewal after a change of the membership.
const RENEWAL_INTERVAL_AFTER_CHANGE: Duration = Duration::from_millis(150);

/// Delay after a failed renewal.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Duration of the lease that a renewal grants, in milliseconds. When the lease of the coordinator expires, another
/// instance takes over.
pub const MEMBERSHIP_LEASE_MS: u64 = 1_600;

/// Safety margin before the end of a lease, in milliseconds: the store counts from the arrival of the call.
const LEASE_MARGIN_MS: u64 = 200;

/// Renews the membership until the gateway drains.
pub(crate) async fn run<M: MembershipSource>(gateway: Arc<Gateway>, mut source: M) {
    wait_for_predecessor(&gateway, &mut source).await;
    if gateway.is_draining() {
        return;
    }
    let mut history = MembershipHistory::default();
    let mut term = LeaseTerm::default();
    loop {
        let requested_at = boot_now();
        let delay = match source.renew().await {
            Ok(view) => {
                let instances = view.members.len();
                let received_at = boot_now();
                history.record(&view.members, view.term.store_epoch, received_at);
                if view.term != term {
                    log::info!(instances, term = view.term.generation, epoch = view.term.store_epoch; "membership: changed");
                }
                if view.is_coordinator {
                    let until = requested_at.plus_millis(MEMBERSHIP_LEASE_MS - LEASE_MARGIN_MS);
                    let predecessor_stopped = history.predecessor_stopped(received_at, MEMBERSHIP_LEASE_MS);
                    gateway.coordinator_lease().renew(until, view.term, predecessor_stopped);
                } else {
                    gateway.coordinator_lease().clear();
                }
                // A member whose lease has expired still serves its callers.
                let now = monotonic_now();
                gateway.set_instance_count(instances.max(1 + gateway.neighbours().loads(now).1));
                gateway.neighbours().set_members(&view.members, gateway.instance_count(), now);
                gateway.update_sharers();
                // After a reassignment, the new holder obtains the lease at its next renewal.
                if std::mem::replace(&mut term, view.term) == view.term {
                    RENEWAL_INTERVAL
                } else {
                    RENEWAL_INTERVAL_AFTER_CHANGE
                }
            }
            Err(error) => {
                log::debug!("membership: renewal failed: {error}");
                RETRY_DELAY
            }
        };
        if gateway.is_draining() {
            source.leave().await;
            gateway.coordinator_lease().clear();
            return;
        }
        Timer::after(delay).await;
    }
}

/// Waits until the lease of a previous process of this instance has expired if that process was the coordinator.
///
/// Otherwise, this process would hold the lease in the same term without knowing the versions that its predecessor chose and the
/// steps that it held. Orders of the predecessor may still be executed seconds later.
async fn wait_for_predecessor<M: MembershipSource>(gateway: &Gateway, source: &mut M) {
    while !gateway.is_draining() {
        match source.is_predecessor_coordinator().await {
            Ok(false) => return,
            Ok(true) => {
                log::info!("membership: waiting for the coordinator lease of the previous process to expire")
            }
            Err(error) => log::debug!("membership: failed to read the coordinator: {error}"),
        }
        Timer::after(RETRY_DELAY).await;
    }
}
