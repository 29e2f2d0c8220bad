//! The choice of store readers, the calls between neighbours, and the freshness of shared state.

use std::net::SocketAddr;

use fuchsiabay_balancer::{Freshness, Neighbours, SharedState, StoreReaders};
use fuchsiabay_base::Timestamp;
use quickcheck::quickcheck;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn addr(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn addrs(n: u16) -> Vec<SocketAddr> {
    (1..=n).map(addr).collect()
}

/// Checks the number of readers among `listed` members of `instances` instances.
fn check(listed: u16, instances: usize, readers: usize) {
    let members = addrs(listed);
    let chosen = StoreReaders::choose(&members, instances);
    assert_eq!(members.iter().filter(|member| chosen.contains(**member)).count(), readers);
}

macro_rules! cases {
    ($check:ident: $($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { $check($($arg),*); })*
    };
}

cases! { check:
    single_instance_is_a_reader(1, 1, 1);
    /// Guards against a single reader, whose failure would leave all instances without updates.
    few_instances_have_two_readers(5, 5, 2);
    readers_scale_with_the_instances(64, 64, 4);
    /// Guards against too few readers if the store lists only some of the instances.
    unlisted_instances_count(12, 352, 12);
}

quickcheck! {
    /// Guards against instances that choose different readers from the same members.
    fn choice_is_independent_of_the_order(n: u8, rotation: u8) -> bool {
        let mut members = addrs(u16::from(n) + 1);
        let before = StoreReaders::choose(&members, members.len());
        let mid = usize::from(rotation) % members.len();
        members.rotate_left(mid);
        before == StoreReaders::choose(&members, members.len())
    }

    /// Guards against what no instance writes to the store, and against so many writers that most of them are refused.
    fn two_readers_write(n: u8) -> bool {
        let members = addrs(n.into());
        let readers = StoreReaders::choose(&members, members.len());
        let writers: Vec<_> = members.iter().filter(|member| readers.is_writer(**member)).collect();
        writers.len() == members.len().min(2) && writers.into_iter().all(|writer| readers.contains(*writer))
    }

    /// Guards against an instance that calls itself or no reader.
    fn other_instances_call_two_readers(n: u8) -> bool {
        let members = addrs(u16::from(n) + 3);
        let readers = StoreReaders::choose(&members, members.len());
        members.iter().all(|own| {
            let called = readers.called_by(*own);
            if readers.contains(*own) { called.is_empty() } else { called.len() == 2 && !called.contains(own) }
        })
    }
}

/// Runs one round of `n` instances that know each other. Returns the pairs of caller and callee.
fn round(n: u16, is_stale: bool) -> Vec<(SocketAddr, SocketAddr)> {
    let members = addrs(n);
    let mut calls = Vec::new();
    for own in &members {
        let mut table = Neighbours::new(*own);
        table.set_members(&members, members.len(), at(0));
        calls.extend(table.next_round(1, is_stale).into_iter().map(|callee| (*own, callee)));
    }
    calls
}

/// Guards against pairs of instances that never exchange their loads, and against pairs that do so twice per round.
#[test]
fn each_pair_exchanges_once_per_round() {
    let calls = round(5, false);
    for (i, a) in addrs(5).iter().enumerate() {
        for b in &addrs(5)[i + 1..] {
            let between = calls.iter().filter(|call| **call == (*a, *b) || **call == (*b, *a)).count();
            assert_eq!(between, 1, "{a} and {b}");
        }
    }
}

/// Guards against a reader that is rejected by the store and calls no other instance.
#[test]
fn stale_instance_calls_all_others() {
    assert_eq!(round(5, true).len(), 5 * 4);
}

/// Guards against rounds whose cost grows with the number of instances.
#[test]
fn calls_per_round_are_bounded() {
    let calls = round(200, true);
    let most =
        addrs(200).into_iter().map(|own| calls.iter().filter(|(caller, _)| *caller == own).count()).max();
    assert!(most <= Some(10), "{most:?} calls in one round");
}

/// Guards against confirmations that never expire, and against a late response that appears fresher than it is.
#[test]
fn confirmations_expire() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_fresh(SharedState::Config, at(0)));
    freshness.confirm(SharedState::Config, at(0), 0);
    assert_eq!(freshness.age_ms(SharedState::Config, at(400)), Some(400));
    assert!(!freshness.is_fresh(SharedState::Directory, at(0)));
    assert!(freshness.is_fresh(SharedState::Config, at(1_400)));
    assert!(!freshness.is_fresh(SharedState::Config, at(1_600)));
    freshness.confirm(SharedState::Config, at(1_000), 400);
    assert_eq!(freshness.age_ms(SharedState::Config, at(1_000)), Some(400));
    freshness.confirm(SharedState::Config, at(900), 5_000);
    assert_eq!(
        freshness.age_ms(SharedState::Config, at(1_000)),
        Some(400),
        "an older confirmation must not replace a newer one"
    );
}

/// Guards against instances that keep an outdated confirmation alive by relaying it to each other.
#[test]
fn relayed_confirmations_keep_their_age() {
    let mut first = Freshness::default();
    first.confirm(SharedState::Directory, at(0), 0);
    let mut second = Freshness::default();
    for ms in (0..5_000).step_by(250) {
        if let Some(age_ms) = first.age_ms(SharedState::Directory, at(ms)) {
            second.confirm(SharedState::Directory, at(ms), age_ms);
        }
        if let Some(age_ms) = second.age_ms(SharedState::Directory, at(ms)) {
            first.confirm(SharedState::Directory, at(ms), age_ms);
        }
    }
    assert_eq!(first.valid_until(SharedState::Directory), Some(at(1_300)));
}
