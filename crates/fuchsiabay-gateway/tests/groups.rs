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
