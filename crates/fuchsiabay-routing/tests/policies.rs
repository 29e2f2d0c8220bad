//! Server selection, retry budget, backoff, quarantine and workspace limits.

use fastrand::Rng;
use fuchsiabay_base::{Fingerprint, Generation, ServiceName, Timestamp, WorkspaceId, WriterId};
use fuchsiabay_routing::{
    Backoff, Member, NoServer, PickArgs, Quarantine, QuarantineRecord, QuarantineStatus, RetryBudget, Router,
    WorkspaceLimiter,
};
use fuchsiabay_wire::LoadReport;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const PREFIX: u64 = 42;

fn id(name: &str, generation: u64) -> WriterId {
    WriterId { instance: name.into(), generation: Generation(generation) }
}

fn member(name: &str, generation: u64) -> Member {
    let zone = if name.starts_with('b') { "b" } else { "a" };
    Member { id: id(name, generation), zone: zone.into(), service: "writer".into() }
}

/// A router with local servers a1 and a2 and remote server b1, all in generation 1.
fn router() -> Router<()> {
    let router = Router::new("a".into());
    router.update(vec![member("a1", 1), member("a2", 1), member("b1", 1)], |_| ());
    for server in router.servers(&"writer".into()).iter() {
        server.set_connected(true);
        report(&router, server.id(), LoadReport::default());
    }
    router
}

fn report(router: &Router<()>, id: &WriterId, report: LoadReport) {
    let report = LoadReport { generation: id.generation, slots: 4, ..report };
    with(router, id, |server| server.apply_report(report, NOW));
}

fn with(router: &Router<()>, id: &WriterId, f: impl FnOnce(&fuchsiabay_routing::Server<()>)) {
    let servers = router.servers(&"writer".into());
    f(servers.iter().find(|s| s.id() == id).expect("the server is a member"));
}

fn pick(router: &Router<()>, tried: &[WriterId], seed: u64) -> Result<WriterId, NoServer> {
    let service = ServiceName::new("writer");
    let args = PickArgs { service: &service, prefix: Some(PREFIX), tried, spill_over_ms: 50 };
    router.pick(&args, NOW, &mut Rng::with_seed(seed)).map(|s| s.id().clone())
}

/// Prepares the router and checks the set of servers that it picks over 50 seeds.
fn check(prepare: impl FnOnce(&Router<()>), tried: &[&str], expected: &[&str]) {
    let router = router();
    prepare(&router);
    let tried: Vec<WriterId> = tried.iter().map(|name| id(name, 1)).collect();
    let mut picked: Vec<String> =
        (0..50).filter_map(|seed| pick(&router, &tried, seed).ok()).map(|id| id.to_string()).collect();
    picked.sort_unstable();
    picked.dedup();
    assert_eq!(picked, expected);
}

macro_rules! cases {
    ($($name:ident: $prepare:expr, $tried:expr => $expected:expr;)+) => {
        $(#[test] fn $name() { check($prepare, &$tried, &$expected); })+
    };
}

// Each case guards against sending work to a server although another one can serve it better.
cases! {
    local_first: |_| (), [] => ["a1#1", "a2#1"];
    less_loaded_first: |r| report(r, &id("a1", 1), LoadReport { queued: 9, ..Default::default() }), [] => ["a2#1"];
    sends_since_the_report_count: |r| with(r, &id("a1", 1), |s| s.count_send(100)), [] => ["a2#1"];
    draining: |r| report(r, &id("a1", 1), LoadReport { draining: true, ..Default::default() }), [] => ["a2#1"];
    skipped: |r| with(r, &id("a1", 1), |s| s.skip_until(NOW.plus_millis(1))), [] => ["a2#1"];
    expired_skip: |r| with(r, &id("a1", 1), |s| s.skip_until(NOW)), ["a2"] => ["a1#1"];
    tried: |_| (), ["a1"] => ["a2#1"];
    all_local_tried: |_| (), ["a1", "a2"] => ["b1#1"];
    all_tried: |_| (), ["a1", "a2", "b1"] => [];
    spill_over: |r| {
        for name in ["a1", "a2"] {
            report(r, &id(name, 1), LoadReport { predicted_wait_ms: 51, ..Default::default() });
        }
    }, [] => ["b1#1"];
    no_spill_over_below_the_margin: |r| {
        for name in ["a1", "a2"] {
            report(r, &id(name, 1), LoadReport { predicted_wait_ms: 50, ..Default::default() });
        }
    }, [] => ["a1#1", "a2#1"];
    straggler: |r| {
        with(r, &id("a1", 1), |s| s.record_inter_token_us(100_000));
        with(r, &id("a2", 1), |s| s.record_inter_token_us(20_000));
        with(r, &id("b1", 1), |s| s.record_inter_token_us(20_000));
        r.mark_stragglers();
    }, [] => ["a2#1"];
    cached_prefix: |r| r.record_prefix(PREFIX, &id("a1", 1)), [] => ["a1#1"];
    cached_but_overloaded: |r| {
        r.record_prefix(PREFIX, &id("a1", 1));
        report(r, &id("a1", 1), LoadReport { running: 4, queued: 9, ..Default::default() });
    }, [] => ["a2#1"];
    cached_but_tried: |r| r.record_prefix(PREFIX, &id("a1", 1)), ["a1"] => ["a2#1"];
    gap_in_cache_events: |r| {
        r.record_prefix(PREFIX, &id("a1", 1));
        r.remove_prefixes(&id("a1", 1));
    }, [] => ["a1#1", "a2#1"];
    rejoined_inherits_no_cache: |r| {
        r.record_prefix(PREFIX, &id("b1", 1));
        r.update(vec![member("a1", 1), member("b1", 2)], |_| ());
        with(r, &id("b1", 2), |s| s.set_connected(true));
    }, [] => ["a1#1"];
    rejoined_inherits_no_penalty: |r| {
        with(r, &id("a1", 1), |s| s.skip_until(NOW.plus_millis(9)));
        r.update(vec![member("a1", 2)], |_| ());
        with(r, &id("a1", 2), |s| s.set_connected(true));
    }, [] => ["a1#2"];
    report_of_old_generation: |r| {
        r.update(vec![member("a1", 2)], |_| ());
        with(r, &id("a1", 2), |s| {
            s.set_connected(true);
            s.apply_report(LoadReport { generation: Generation(1), draining: true, ..Default::default() }, NOW);
        });
    }, [] => ["a1#2"];
    not_connected: |r| with(r, &id("a1", 1), |s| s.set_connected(false)), [] => ["a2#1"];
    removed_member: |r| drop(r.update(vec![member("a2", 1)], |_| ())), [] => ["a2#1"];
}

#[test]
fn failed_pick_reports_when_a_skipped_server_may_be_retried() {
    let router = router();
    with(&router, &id("a1", 1), |s| s.skip_until(NOW.plus_millis(70)));
    let failed = pick(&router, &[id("a2", 1), id("b1", 1)], 1);
    assert_eq!(failed, Err(NoServer { retry_at: Some(NOW.plus_millis(70)) }));
}

// Guards against retries that multiply the load during an outage.
#[test]
fn retries_are_a_share_of_traffic() {
    let budget = RetryBudget::new(20, NOW);
    (0..10).for_each(|_| assert!(budget.try_take(NOW)));
    (0..100).for_each(|_| budget.count_request(20));
    assert_eq!((0..100).filter(|_| budget.try_take(NOW)).count(), 20);
    assert!(budget.try_take(NOW.plus_millis(1_000)), "an idle instance earns a retry per second");
    budget.count_request(0);
    assert!(!budget.try_take(NOW.plus_millis(9_000)), "zero percent allows no retries");
}

// Guards against synchronized retries that hit a recovering server all at once.
#[test]
fn backoff_grows_with_jitter() {
    let mut rng = Rng::with_seed(1);
    let mut backoff = Backoff::default();
    let waits: Vec<u64> = (0..40).map(|_| backoff.next(NOW, &mut rng).millis_since(NOW)).collect();
    assert!(waits[0] <= 10 && waits.iter().all(|ms| *ms <= 1_000));
    assert!(waits[7..].iter().any(|ms| *ms > 200) && waits[7..].iter().any(|ms| *ms < 800));
}

/// A crashed server, its generation and the milliseconds until the report expires, or `("cleared", 0, 0)`.
type Report = (&'static str, u64, u64);

fn status_after(records: &[Report], now: Timestamp) -> QuarantineStatus {
    let fingerprint = Fingerprint::of(&[b"slip"]);
    let quarantine = Quarantine::default();
    for (server, generation, expires) in records {
        let record = match *server {
            "cleared" => QuarantineRecord::Cleared { fingerprint },
            name => QuarantineRecord::Crash {
                fingerprint,
                server: id(name, *generation),
                expires_at: NOW.plus_millis(*expires),
            },
        };
        let json = serde_json::to_string(&record).expect("a record serializes to JSON");
        quarantine.apply(&serde_json::from_str(&json).expect("the record survives serialization"), NOW);
    }
    quarantine.status(&fingerprint, 2, now)
}

// A request that crashes servers must be refused, and any other must not.
#[test]
fn status_follows_from_crashes() {
    let quarantined = QuarantineStatus::Quarantined { until: NOW.plus_millis(100) };
    let cases: &[(&[Report], u64, QuarantineStatus)] = &[
        (&[], 0, QuarantineStatus::NotSuspected),
        (&[("a1", 1, 100)], 0, QuarantineStatus::Suspect),
        (&[("a1", 1, 100), ("a1", 1, 200)], 0, QuarantineStatus::Suspect),
        (&[("a1", 1, 100), ("a2", 1, 200)], 0, quarantined),
        (&[("a1", 1, 100), ("a1", 2, 200)], 0, quarantined),
        (&[("a1", 1, 100), ("a2", 1, 200)], 100, QuarantineStatus::Suspect),
        (&[("a1", 1, 100), ("a2", 1, 200)], 200, QuarantineStatus::NotSuspected),
        (&[("a1", 1, 100), ("cleared", 0, 0)], 0, QuarantineStatus::NotSuspected),
        (&[("a1", 1, 100), ("cleared", 0, 0), ("a2", 1, 100)], 0, QuarantineStatus::Suspect),
    ];
    for (records, later, expected) in cases {
        assert_eq!(status_after(records, NOW.plus_millis(*later)), *expected, "{records:?} after {later} ms");
    }
}

// A flood of crash reports must neither grow the memory of the entry instances without bound nor evict a fingerprint
// with a second crash.
#[test]
fn quarantine_is_bounded() {
    let quarantine = Quarantine::default();
    let crash = |n: u32, server| QuarantineRecord::Crash {
        fingerprint: Fingerprint::of(&[&n.to_le_bytes()]),
        server: id(server, 1),
        expires_at: NOW.plus_millis(50),
    };
    quarantine.apply(&crash(0, "a1"), NOW);
    quarantine.apply(&crash(0, "a2"), NOW);
    (1..20_000).for_each(|n| quarantine.apply(&crash(n, "a1"), NOW));
    let suspects = quarantine.suspects(NOW);
    assert!(suspects.len() <= 4096, "{} suspects", suspects.len());
    assert!(suspects.contains(&(Fingerprint::of(&[&0_u32.to_le_bytes()]), 2)));
}

// A workspace above its limit must be refused, so that it does not take the share of others, and must be told when to
// retry.
#[test]
fn workspace_limit_is_shared_between_entries() {
    let limiter = WorkspaceLimiter::default();
    let workspace = WorkspaceId::new("crackleleaf");
    let admit = |tokens, later| limiter.admit(&workspace, 1_000, 4, tokens, NOW.plus_millis(later));
    assert_eq!(admit(1_000, 0), Ok(()), "the bucket holds four seconds of a share of 250 tokens per second");
    let retry_at = admit(250, 0).expect_err("the share is used up");
    assert_eq!(retry_at, NOW.plus_millis(1_001));
    assert_eq!(admit(250, 1_000), Ok(()));
    limiter.settle(&workspace, 250, 50);
    assert_eq!(admit(200, 1_000), Ok(()), "the unused part of the estimate is refunded");
    assert_eq!(admit(9_000, 5_000), Ok(()), "a request larger than the bucket is admitted when it is full");
    assert!(admit(1, 6_000).is_err());
}
