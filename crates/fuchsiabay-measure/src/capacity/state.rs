//! The memory and processor time of the state that the decision code keeps.

use std::collections::BTreeMap;

use fastrand::Rng;
use fuchsiabay_admission::{Job, JobId, Limits, Scheduler};
use fuchsiabay_base::{
    Fingerprint, Generation, IdempotencyKey, InstanceId, ServiceName, Timestamp, WorkspaceId, WriterId,
    ZoneName,
};
use fuchsiabay_claims::{
    Claim, ClaimId, ClaimKey, ClaimLedger, ClaimLimits, ClaimRecord, LoggedRecord, Response,
};
use fuchsiabay_config::{Document, Millis, Preset, Service, ServiceKind, VersionedConfig, Workspace};
use fuchsiabay_experts::{MapLedger, MapRecord, MapVersion, Placement, Rank};
use fuchsiabay_routing::{
    Member, PickArgs, Quarantine, QuarantineRecord, RequestKind, RequestMachine, Router, WorkspaceLimiter,
};
use fuchsiabay_wire::LoadReport;

use super::{Slope, measure};

/// Measures the state of every role.
pub(crate) fn slopes() -> Vec<Slope> {
    vec![
        measure("entry: linked backend server", [1_000, 10_000, 100_000], router),
        measure("entry: choice of a backend server among 64", [10_000, 100_000, 1_000_000], picked_servers),
        measure("entry: state machine of an open request", [1_000, 10_000, 100_000], request_machines),
        measure("entry: workspace with a limit", [1_000, 10_000, 100_000], limiter),
        measure("entry: suspected fingerprint", [500, 1_000, 2_000], quarantine),
        measure(
            "all: workspace of the configuration, parsed",
            [1_000, 10_000, 100_000],
            parsed_configuration,
        ),
        measure("agent: waiting job", [1_000, 10_000, 100_000], waiting_jobs),
        measure("agent: job admitted, started and finished", [1_000, 10_000, 100_000], finished_jobs),
        measure("agent: claim with outcome of 200 bytes", [1_000, 10_000, 100_000], claims),
        measure("agent: expert map switch of 8 agents", [100, 1_000, 10_000], map_switches),
        measure("agent: placement of 256 experts on 64 ranks", [10, 100, 1_000], placements),
        measure("all: instance of the list, parsed", [1_000, 10_000, 100_000], instances),
    ]
}

fn writer(i: u64) -> WriterId {
    WriterId { instance: InstanceId::new(format!("agent-{i:06}")), generation: Generation(1) }
}

fn workspace(i: u64) -> WorkspaceId {
    WorkspaceId::new(format!("workspace-{i:06}"))
}

fn members(count: u64) -> Vec<Member> {
    let member =
        |i| Member { id: writer(i), zone: ZoneName::new("zone-a"), service: ServiceName::new("model") };
    (0..count).map(member).collect()
}

fn router(count: u64) -> Router<u64> {
    let router = Router::new(ZoneName::new("zone-a"));
    router.update(members(count), |_| 0);
    router
}

fn picked_servers(count: u64) -> u64 {
    let router = router(64);
    let service = ServiceName::new("model");
    for server in router.servers(&service).iter() {
        server.set_connected(true);
        let report = LoadReport { generation: Generation(1), slots: 16, ..LoadReport::default() };
        server.apply_report(report, Timestamp::ZERO);
    }
    let mut rng = Rng::with_seed(1);
    let args = PickArgs { service: &service, prefix: None, tried: &[], spill_over_ms: 50 };
    let mut picked = 0;
    for _ in 0..count {
        if let Ok(server) = router.pick(&args, Timestamp::ZERO, &mut rng) {
            server.count_send(100);
            picked += 1;
        }
    }
    picked
}

fn request_machines(count: u64) -> Vec<RequestMachine<u64>> {
    let machine = |_| RequestMachine::new(RequestKind::Generate, true, false, Timestamp::from_millis(1));
    (0..count).map(machine).collect()
}

fn limiter(count: u64) -> WorkspaceLimiter {
    let limiter = WorkspaceLimiter::default();
    for i in 0..count {
        let _ = limiter.admit(&workspace(i), 1_000, 350, 10, Timestamp::ZERO);
    }
    limiter
}

fn quarantine(count: u64) -> Quarantine {
    let quarantine = Quarantine::default();
    for i in 0..count {
        let record = QuarantineRecord::Crash {
            fingerprint: Fingerprint::of(&[&i.to_le_bytes()]),
            server: writer(i),
            expires_at: Timestamp::from_millis(1_000),
        };
        quarantine.apply(&record, Timestamp::ZERO);
    }
    quarantine
}

fn preset() -> Preset {
    Preset {
        queue_limit: 64,
        long_share_percent: 50,
        ageing_ms: Millis(20_000),
        long_work_tokens: 400,
        max_output_tokens: 4_096,
        retry_budget_percent: 10,
        spill_over_ms: Millis(50),
        quarantine_crashes: 2,
        quarantine_ms: Millis(600_000),
        default_deadline_ms: Millis(30_000),
        drain_ms: Millis(600_000),
    }
}

/// Returns a configuration with `count` workspaces that each have a weight and a limit.
pub(crate) fn configuration(count: u64) -> VersionedConfig {
    let workspaces =
        (0..count).map(|i| (workspace(i), Workspace { weight: 1, tokens_per_second: Some(1_000) }));
    let document = Document {
        services: BTreeMap::from([(ServiceName::new("model"), Service { kind: ServiceKind::Model })]),
        routes: Vec::new(),
        workspaces: workspaces.collect(),
        presets: BTreeMap::from([("ordinary".to_owned(), preset())]),
        initial_preset: "ordinary".to_owned(),
    };
    VersionedConfig::new(1, document, "ordinary".to_owned()).expect("the document defines the preset")
}

fn parsed_configuration(count: u64) -> VersionedConfig {
    let text = serde_json::to_string(&configuration(count)).expect("a configuration can be serialized");
    serde_json::from_str(&text).expect("a serialized configuration can be parsed")
}

fn limits(slots: u32, queue: u64) -> Limits {
    Limits {
        slots,
        queue_limit: u32::try_from(queue).unwrap_or(u32::MAX),
        long_share_percent: 50,
        ageing_ms: 20_000,
        long_work_tokens: 400,
        pause_after_ms: None,
    }
}

fn job(i: u64) -> Job {
    Job {
        id: JobId(i),
        workspace: workspace(i % 100),
        weight: 1,
        fingerprint: Fingerprint::of(&[&i.to_le_bytes()]),
        priority: 0,
        estimated_tokens: 100,
        deadline: Timestamp::from_millis(1_000_000),
        solo: false,
        pausable: true,
    }
}

fn waiting_jobs(count: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(limits(1, count * 2));
    for i in 0..count {
        let _ = scheduler.submit(Timestamp::ZERO, job(i));
    }
    while scheduler.next_command().is_some() {}
    scheduler
}

fn finished_jobs(count: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(limits(16, 64));
    for i in 0..count {
        let now = Timestamp::from_millis(i);
        let _ = scheduler.submit(now, job(i));
        while scheduler.next_command().is_some() {}
        scheduler.progress(now, JobId(i), 50);
        scheduler.finish(now, JobId(i), 100);
    }
    scheduler
}

fn claims(count: u64) -> ClaimLedger {
    let limits = ClaimLimits { window_ms: 3_600_000, skew_ms: 5_000, margin_ms: 60_000 };
    let mut ledger = ClaimLedger::new(limits);
    let at = Timestamp::from_millis(1_700_000_000_000);
    ledger.skip_to(0, at);
    for i in 0..count {
        let key =
            ClaimKey { key: IdempotencyKey::from_parts(at, u128::from(i)), workspace: workspace(i % 100) };
        let claim = Claim { key, writer: writer(i % 600), id: ClaimId(i) };
        let fingerprint = Fingerprint::of(&[&i.to_le_bytes()]);
        let response =
            Response { status: 200, content_type: "application/json".to_owned(), body: vec![b'x'; 200] };
        let record = ClaimRecord::Claim { claim: claim.clone(), fingerprint };
        ledger.apply(&LoggedRecord { offset: i * 2, at, record: Some(record) });
        let record = ClaimRecord::Outcome { claim, response: response.into() };
        ledger.apply(&LoggedRecord { offset: i * 2 + 1, at, record: Some(record) });
    }
    ledger
}

fn map_switches(count: u64) -> MapLedger {
    let mut ledger = MapLedger::starting_at(0);
    let ranks: BTreeMap<_, _> = (0..64).map(|rank| (Rank(rank), writer(u64::from(rank) / 8))).collect();
    ledger.apply(0, &MapRecord::Generation { generation: 1, ranks });
    let mut offset = 1;
    for i in 1..=count {
        let prepare = MapRecord::Prepare {
            generation: 1,
            map: MapVersion(i),
            hold_step: i * 400,
            content: Default::default(),
        };
        ledger.apply(offset, &prepare);
        let switch = fuchsiabay_experts::SwitchId(offset);
        for agent in 0..8 {
            offset += 1;
            ledger.apply(offset, &MapRecord::Vote { switch, generation: 1, writer: writer(agent) });
        }
        offset += 1;
    }
    ledger
}

fn placements(count: u64) -> Vec<Placement> {
    (0..count).map(|_| Placement::round_robin(256, 64, 6)).collect()
}

fn instances(count: u64) -> Vec<fuchsiabay_runtime::Instance> {
    let instance = |i: u64| {
        serde_json::json!({
            "id": format!("agent-{i:06}"), "role": "agent", "zone": "region-1-zone-a", "service": "model",
            "peer": "10.0.0.1:7200", "generation": 1_700_000_000_000_u64, "state": "live",
        })
    };
    let text = serde_json::Value::from((0..count).map(instance).collect::<Vec<_>>()).to_string();
    serde_json::from_str(&text).expect("a serialized instance list can be parsed")
}
