//! Keeps this instance a member of the instances, and learns who coordinates.

use std::{sync::Arc, time::Duration};

use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use crate::{MembershipSource, coordinator_lease::boot_now, gateway::Gateway};

/// The interval of the renewals.
const RENEW: Duration = Duration::from_millis(500);

/// The interval after a change of the membership.
const RENEW_AFTER_CHANGE: Duration = Duration::from_millis(150);

/// The interval after a failed renewal.
const RETRY: Duration = Duration::from_millis(300);

/// The time for which a renewal holds, in milliseconds. Another instance takes the duty over after it.
pub const MEMBERSHIP_LEASE_MS: u64 = 1_600;

/// The part of a lease that is not used, in milliseconds, because the store counts from the arrival of the call.
const LEASE_MARGIN_MS: u64 = 200;

/// The time that a change of the members takes to settle, in milliseconds. The members agree to the new dealing one after the
/// other.
const MEMBERS_CHANGE_MS: u64 = 2_500;

/// Renews the membership for ever.
pub(crate) async fn run<M: MembershipSource>(gateway: Arc<Gateway>, mut source: M) {
    let mut known = Vec::new();
    let mut term = 0;
    let mut changed_at = boot_now();
    loop {
        let asked_at = boot_now();
        let pause = match source.renew().await {
            Ok(view) => {
                let instances = view.members.len();
                if view.term != term {
                    log::info!(instances, term = view.term; "membership: changed");
                    if known != view.members {
                        changed_at = asked_at;
                        known.clone_from(&view.members);
                    }
                }
                if view.is_coordinator {
                    let until = asked_at.plus_millis(MEMBERSHIP_LEASE_MS - LEASE_MARGIN_MS);
                    // The store passes a duty on after its holder has left or has agreed. Only where it deals all duties anew with
                    // the members unchanged, the holder may not know.
                    let knows = asked_at.millis_since(changed_at) < MEMBERS_CHANGE_MS;
                    gateway.coordinator_lease().renew(until, view.term, knows);
                } else {
                    gateway.coordinator_lease().clear();
                }
                // A member whose lease has lapsed still serves its callers.
                let now = monotonic_now();
                gateway.set_instances(instances.max(1 + gateway.neighbours().loads(now).1));
                gateway.neighbours().set_members(&view.members, gateway.instances(), now);
                // A duty that changes hands is taken at the next renewal.
                if std::mem::replace(&mut term, view.term) == view.term { RENEW } else { RENEW_AFTER_CHANGE }
            }
            Err(error) => {
                log::debug!("membership: not renewed: {error}");
                RETRY
            }
        };
        if gateway.is_draining() {
            source.leave().await;
            gateway.coordinator_lease().clear();
            return;
        }
        Timer::after(pause).await;
    }
}
