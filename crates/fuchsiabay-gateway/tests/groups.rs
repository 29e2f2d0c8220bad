//! The coordinator of lockstep groups.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use fuchsiabay_base::InstanceId;
use smol::Timer;
use support::{Behaviour, Harness, harness::engine_config, platform::FakePlatform};

/// Guards against a coordinator that reads all groups anew in every round, and forgets their demand, because a listed server is in
/// none.
#[test]
fn groups_are_read_once_although_a_server_is_in_none() {
    smol::block_on(async {
        let platform = FakePlatform { is_coordinator: true, ..FakePlatform::default() };
        platform.single_engines.lock().unwrap().push(InstanceId::new("i-2"));
        let harness = Harness::start_on(platform, engine_config(1, 1), 3, &[Behaviour::Respond("")]).await;
        Timer::after(Duration::from_millis(1_500)).await;
        assert_eq!(harness.platform.expert_reads.load(Ordering::Relaxed), 2);
    });
}

/// Guards against a restarted coordinator that continues the term of its previous process, and so gives out a version again for
/// another layout.
#[test]
fn term_of_a_previous_process_is_not_continued() {
    smol::block_on(async {
        let platform = FakePlatform { is_coordinator: true, ..FakePlatform::default() };
        platform.has_predecessor.store(true, Ordering::Relaxed);
        let harness = Harness::start_on(platform, engine_config(1, 1), 1, &[Behaviour::Respond("")]).await;
        Timer::after(Duration::from_millis(1_500)).await;
        let reads = || harness.platform.expert_reads.load(Ordering::Relaxed);
        assert_eq!(reads(), 0);
        harness.platform.has_predecessor.store(false, Ordering::Relaxed);
        Timer::after(Duration::from_millis(1_500)).await;
        assert_eq!(reads(), 1);
    });
}

/// A group of one engine whose coordinator is this instance. The engine holds a step from the start, or only once its group is known.
fn check_release(is_held_at_start: bool, orders: &[&str]) {
    smol::block_on(async {
        let platform = FakePlatform { is_coordinator: true, ..FakePlatform::default() };
        let hold = || *platform.held_step.lock().unwrap() = Some(7);
        if is_held_at_start {
            hold();
        }
        let script = [Behaviour::Respond("")];
        let harness = Harness::start_on(platform.clone(), engine_config(1, 1), 1, &script).await;
        if !is_held_at_start {
            Timer::after(Duration::from_millis(1_500)).await;
            hold();
        }
        // Callers abandon a stream after a gap of two seconds.
        Timer::after(Duration::from_millis(2_000)).await;
        assert_eq!(*harness.platform.orders.lock().unwrap(), orders);
        assert_eq!(*harness.platform.held_step.lock().unwrap(), None);
    });
}

macro_rules! release_cases {
    ($($(#[$doc:meta])* $name:ident: $is_held_at_start:expr, $orders:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check_release($is_held_at_start, &$orders); })*
    };
}

release_cases! {
    /// Guards against a hold of an earlier coordinator that is released while its arm orders may still be executed.
    hold_of_an_earlier_coordinator_is_released_under_a_new_version: true, ["prepare", "release"];
    /// Guards against a group that stays held because a hold order was executed after the release of its step.
    late_hold_of_a_known_group_is_released: false, ["prepare", "release"];
}
