//! Requests that crash servers, sent to instances that start after all others have ended.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use fuchsiabay_balancer::CrashRecord;
use smol::Timer;
use support::{
    Harness,
    caller::get_request,
    crashing::{BAD, CrashingFleet, Ending},
    harness::config,
    platform::FakePlatform,
};

/// The number of servers, and how long one is down after a crash.
const SERVERS: usize = 6;
const DOWN: Duration = Duration::from_millis(300);

/// The number of crashes after which a request is refused.
const CRASHES: usize = 3;

/// The time after which a crash counts and is saved, with a margin.
const SAVED: Duration = Duration::from_millis(2_000);

/// The time by which crashes age at least in each life of the processes, in milliseconds. 60 lives end each quarantine.
const MIN_AGEING_MS: u64 = 5_000;

/// Starts servers and one instance, which knows the store's other members as well as itself.
async fn start() -> (CrashingFleet, Harness) {
    let platform = FakePlatform::default();
    *platform.config.lock().unwrap() = Some(config(1));
    let fleet = CrashingFleet::start(platform.clone(), SERVERS, DOWN, Ending::Closes).await;
    let harness = start_instance(platform).await;
    (fleet, harness)
}

async fn start_instance(platform: FakePlatform) -> Harness {
    let harness = Harness::start_with(platform, Vec::new(), &[]).await;
    *harness.platform.members.lock().unwrap() = vec![harness.gateway.peer_addr()];
    harness.wait_until_ready().await;
    harness
}

/// Sends the bad request `count` times, and waits until the crash that it may cause counts.
async fn send_bad(harness: &Harness, count: usize) {
    for n in 0..count {
        let req = format!(
            "POST /once/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: b{n}\r\nX-Left: 900\r\n\
             Content-Length: {}\r\n\r\n{BAD}",
            BAD.len()
        );
        harness.caller().await.round_trip(req.as_bytes()).await;
        Timer::after(Duration::from_millis(1_000)).await;
    }
}

/// Returns the platform of processes that start after those on `platform` have been killed. The store holds `record` in `epoch`.
fn after_a_kill(platform: &FakePlatform, record: CrashRecord, epoch: u64) -> FakePlatform {
    FakePlatform {
        crashes: Arc::new(Mutex::new((record, 1))),
        epoch: Arc::new(epoch.into()),
        members: Arc::default(),
        reads: Arc::default(),
        ..platform.clone()
    }
}

/// Checks how many bad requests reach servers after all processes were killed, if the store returns in `epoch`.
async fn check(epoch: u64, arrivals: usize) {
    let (fleet, harness) = start().await;
    send_bad(&harness, CRASHES).await;
    Timer::after(SAVED).await;
    let record = harness.platform.crashes.lock().unwrap().0.clone();
    let restarted = start_instance(after_a_kill(&harness.platform, record, epoch)).await;
    send_bad(&restarted, CRASHES + 1).await;
    assert_eq!(fleet.bad_arrivals().len() - CRASHES, arrivals);
}

cases! { check:
    /// Guards against a quarantine that is forgotten because all processes were killed.
    request_is_refused_after_a_kill_of_all_processes(0, 0);
    /// Guards against crashes that have expired since a copy of the store was made, and count again.
    record_of_an_older_copy_of_the_store_is_ignored(1, CRASHES);
}

/// Guards against a quarantine that never ends because all processes are killed before they save the record with the present ages.
#[test]
fn crashes_age_although_all_processes_are_killed_soon() {
    smol::block_on(async {
        let (_fleet, harness) = start().await;
        send_bad(&harness, CRASHES).await;
        Timer::after(SAVED).await;
        let mut record = harness.platform.crashes.lock().unwrap().0.clone();
        for _ in 0..2 {
            let ages = record.crashes.iter().map(|crash| crash.age_ms).min();
            let restarted = start_instance(after_a_kill(&harness.platform, record, 0)).await;
            Timer::after(SAVED).await;
            record = restarted.platform.crashes.lock().unwrap().0.clone();
            let later = record.crashes.iter().map(|crash| crash.age_ms).min();
            assert!(later >= ages.map(|ms| ms + MIN_AGEING_MS), "{ages:?} {later:?}");
        }
    });
}

/// Guards against a record that is lost because the store returns from a copy without it.
#[test]
fn record_is_saved_again_after_a_restore_of_the_store() {
    smol::block_on(async {
        let (_fleet, harness) = start().await;
        send_bad(&harness, CRASHES).await;
        Timer::after(SAVED).await;
        let crashes = harness.platform.crashes.lock().unwrap().0.crashes.len();
        assert_eq!(crashes, CRASHES);
        *harness.platform.crashes.lock().unwrap() = (CrashRecord::default(), 0);
        harness.platform.epoch.store(1, Ordering::Relaxed);
        Timer::after(SAVED).await;
        let record = harness.platform.crashes.lock().unwrap().0.clone();
        assert_eq!((record.crashes.len(), record.store_epoch), (CRASHES, 1));
    });
}

/// Guards against an instance that does not serve, or does not refuse what crashes servers, while the store rejects the record.
#[test]
fn requests_are_served_while_the_store_rejects_the_record() {
    smol::block_on(async {
        let platform = FakePlatform::default();
        platform.rejects_crashes.store(true, Ordering::Relaxed);
        *platform.config.lock().unwrap() = Some(config(1));
        let fleet = CrashingFleet::start(platform.clone(), SERVERS, DOWN, Ending::Closes).await;
        let harness = start_instance(platform).await;
        send_bad(&harness, CRASHES + 1).await;
        assert_eq!(fleet.bad_arrivals().len(), CRASHES);
        let res = harness.caller().await.round_trip(get_request("/safe/a", "s1", 900).as_bytes()).await;
        assert_eq!(res.expect("a response").status, 200);
        harness.platform.rejects_crashes.store(false, Ordering::Relaxed);
        Timer::after(SAVED).await;
        assert_eq!(harness.platform.crashes.lock().unwrap().0.crashes.len(), CRASHES);
    });
}
