//! What an instance has seen of the membership, from which it infers whether a previous coordinator may still send orders.

use std::net::SocketAddr;

use fuchsiabay_base::Timestamp;

/// The time that the store needs to reassign the leases after a change of the members, in milliseconds. The members agree to the
/// new assignment one after the other.
const REBALANCE_MS: u64 = 2_500;

/// The changes of the membership that an instance has seen.
#[derive(Clone, Debug, Default)]
pub struct MembershipHistory {
    members: Vec<SocketAddr>,
    members_changed_at: Timestamp,
    /// The epoch of the store, and when it was first seen.
    store_epoch: Option<(u64, Timestamp)>,
}

impl MembershipHistory {
    /// Records the members as stated in a response that arrived at `at`, up to which the store may have been restored.
    pub fn record(&mut self, members: &[SocketAddr], store_epoch: u64, at: Timestamp) {
        if self.members != members {
            self.members = members.to_vec();
            self.members_changed_at = at;
        }
        if self.store_epoch.is_none_or(|(known, _)| known != store_epoch) {
            self.store_epoch = Some((store_epoch, at));
        }
    }

    /// Returns whether the coordinator before one that holds the lease at `at` has left, has agreed, or has let its lease of
    /// `lease_ms` expire.
    ///
    /// It may be unaware of its successor if the store reassigns all leases while the members stay the same, or if the store has
    /// returned from a copy and has forgotten its lease.
    pub fn predecessor_stopped(&self, at: Timestamp, lease_ms: u64) -> bool {
        let members_changed = at.millis_since(self.members_changed_at) < REBALANCE_MS;
        let is_restored = self.store_epoch.is_some_and(|(_, seen_at)| at.millis_since(seen_at) <= lease_ms);
        members_changed && !is_restored
    }
}
