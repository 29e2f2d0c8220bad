//! Which instances read the store, whom an instance calls, and how long what it knows counts as current.

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

/// Checks how many of `known` members read, where there are `instances` instances.
fn check(known: u16, instances: usize, readers: usize) {
    let members = addrs(known);
    let chosen = StoreReaders::choose(&members, instances);
    assert_eq!(members.iter().filter(|member| chosen.contains(**member)).count(), readers);
}

macro_rules! cases {
    ($check:ident: $($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { $check($($arg),*); })*
    };
}

cases! { check:
    lone_instance_reads(1, 1, 1);
    /// Guards against a single reader whose loss leaves everybody without news.
    two_of_few_read(5, 5, 2);
    readers_grow_with_the_instances(64, 64, 4);
    /// Guards against too few readers where the store names only some of the members.
    members_that_the_store_does_not_name_count(12, 352, 12);
}

quickcheck! {
    /// Guards against instances that choose different readers from the same members.
    fn choice_does_not_depend_on_the_order(n: u8, turn: u8) -> bool {
        let mut members = addrs(u16::from(n) + 1);
        let before = StoreReaders::choose(&members, members.len());
        let mid = usize::from(turn) % members.len();
        members.rotate_left(mid);
        before == StoreReaders::choose(&members, members.len())
    }

    /// Guards against an instance that asks itself or nobody.
    fn who_is_no_reader_asks_two(n: u8) -> bool {
        let members = addrs(u16::from(n) + 3);
        let readers = StoreReaders::choose(&members, members.len());
        members.iter().all(|own| {
            let asked = readers.asked_by(*own);
            if readers.contains(*own) { asked.is_empty() } else { asked.len() == 2 && !asked.contains(own) }
        })
    }
}

/// Calls one round of `n` instances that know each other. Returns the pairs of caller and callee.
fn round(n: u16, lacks_news: bool) -> Vec<(SocketAddr, SocketAddr)> {
    let members = addrs(n);
    let mut calls = Vec::new();
    for own in &members {
        let mut table = Neighbours::new(*own);
        table.set_members(&members, members.len(), at(0));
        calls.extend(table.next_round(1, lacks_news).into_iter().map(|callee| (*own, callee)));
    }
    calls
}

/// Guards against pairs of instances that never exchange their loads, and against pairs that do so twice a round.
#[test]
fn each_pair_speaks_once_a_round() {
    let calls = round(5, false);
    for (i, a) in addrs(5).iter().enumerate() {
        for b in &addrs(5)[i + 1..] {
            let between = calls.iter().filter(|call| **call == (*a, *b) || **call == (*b, *a)).count();
            assert_eq!(between, 1, "{a} and {b}");
        }
    }
}

/// Guards against a reader that the store turns away and that asks nobody.
#[test]
fn who_lacks_news_asks_everybody() {
    assert_eq!(round(5, true).len(), 5 * 4);
}

/// Guards against rounds that grow with the number of instances.
#[test]
fn rounds_are_bounded() {
    let calls = round(200, true);
    let most =
        addrs(200).into_iter().map(|own| calls.iter().filter(|(caller, _)| *caller == own).count()).max();
    assert!(most <= Some(10), "{most:?} calls in one round");
}

/// Guards against news that count for ever, and against a late answer that looks fresher than it is.
#[test]
fn proofs_age() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_current(SharedState::Config, at(0)));
    freshness.confirm(SharedState::Config, at(0), 0);
    assert_eq!(freshness.age_ms(SharedState::Config, at(400)), Some(400));
    assert!(!freshness.is_current(SharedState::Directory, at(0)));
    assert!(freshness.is_current(SharedState::Config, at(1_400)));
    assert!(!freshness.is_current(SharedState::Config, at(1_600)));
    freshness.confirm(SharedState::Config, at(1_000), 400);
    assert_eq!(freshness.age_ms(SharedState::Config, at(1_000)), Some(400));
    freshness.confirm(SharedState::Config, at(900), 5_000);
    assert_eq!(
        freshness.age_ms(SharedState::Config, at(1_000)),
        Some(400),
        "an old proof must not end a newer one"
    );
}

/// Guards against a chain of instances that keep an outdated proof alive among themselves.
#[test]
fn relayed_proofs_keep_their_age() {
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
    assert_eq!(first.until(SharedState::Directory), Some(at(1_300)));
}
