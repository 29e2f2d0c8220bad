//! Coordinators around a store that returns from a copy and has forgotten who holds the lease.

use std::net::SocketAddr;

use fuchsiabay_base::Timestamp;
use fuchsiabay_lockstep::{LeaseTerm, MembershipHistory, Takeover, next_version};
use quickcheck::quickcheck;

const LEASE_MS: u64 = 1_600;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn member(i: u16) -> SocketAddr {
    ([10, 0, 0, 1], 7_000 + i).into()
}

/// Records `views`, each a time, an epoch of the store and the members, and checks how long the instance waits that acquires the
/// lease with the last one.
fn check(views: &[(u64, u64, &[u16])], wait_ms: u64) {
    let mut history = MembershipHistory::default();
    let mut acquired_at = at(0);
    for (ms, epoch, members) in views {
        let members: Vec<_> = members.iter().copied().map(member).collect();
        acquired_at = at(*ms);
        history.record(&members, *epoch, acquired_at);
    }
    let predecessor_stopped = history.predecessor_stopped(acquired_at, LEASE_MS);
    let takeover = Takeover { acquired_at, predecessor_stopped, lease_ms: LEASE_MS };
    assert_eq!(takeover.ready_at().millis_since(acquired_at), wait_ms);
}

macro_rules! cases {
    ($($name:ident($($arg:expr),* $(,)?);)*) => { $(#[test] fn $name() { check($($arg),*); })* };
}

// Guards against two coordinators that send orders at the same time, one of which holds its lease from before a restore.
cases! {
    lease_of_a_dead_member_is_not_awaited_in_full(&[(0, 1, &[1, 2]), (9_000, 1, &[1])], 500);
    reassigned_lease_is_awaited(&[(0, 1, &[1, 2]), (9_000, 1, &[1, 2])], LEASE_MS);
    lease_from_before_a_restore_is_awaited(&[(0, 1, &[1, 2]), (9_000, 2, &[1])], LEASE_MS);
    lease_is_awaited_if_the_members_change_soon_after_a_restore(
        &[(0, 1, &[1, 2]), (9_000, 2, &[1, 2]), (9_900, 2, &[1])], LEASE_MS);
    lease_of_a_dead_member_is_not_awaited_in_full_later(
        &[(0, 1, &[1, 2]), (9_000, 2, &[1, 2]), (10_900, 2, &[1])], 500);
    // It does not know whether the store was restored right before.
    starting_instance_awaits_the_lease(&[(0, 2, &[1, 2])], LEASE_MS);
}

quickcheck! {
    // Guards against a version that stands for two layouts: the store has given out a generation twice.
    fn versions_of_a_repeated_generation_differ(highest: u64, generation: u16, back: u8, epoch: u8) -> bool {
        let version = |store_epoch, generation| {
            next_version(highest % (u64::MAX / 2), LeaseTerm { store_epoch, generation })
        };
        let (epoch, generation) = (u64::from(epoch), u64::from(generation));
        version(epoch, generation) != version(epoch + 1, generation.saturating_sub(back.into()))
    }
}
