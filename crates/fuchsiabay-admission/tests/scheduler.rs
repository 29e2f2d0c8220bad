//! Runs the scheduler on virtual time.

use std::collections::BTreeSet;

use fuchsiabay_admission::{CancelOutcome, Command, DropReason, Job, JobId, Limits, RefusalCause, Scheduler};
use fuchsiabay_base::{Fingerprint, Timestamp};
use quickcheck::{Arbitrary, Gen};

const LIMITS: Limits = Limits {
    slots: 2,
    queue_limit: 8,
    long_share_percent: 50,
    ageing_ms: 100,
    long_work_tokens: 100,
    pause_after_ms: None,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn job(id: u64, workspace: &str, tokens: u32) -> Job {
    Job {
        id: JobId(id),
        workspace: workspace.into(),
        weight: 1,
        fingerprint: Fingerprint::of(&[&id.to_be_bytes()]),
        priority: 1,
        estimated_tokens: tokens,
        deadline: at(1_000_000),
        solo: false,
        pausable: true,
    }
}

/// A step of a scripted run. The first number of a step that concerns a job is the job's id, a text its workspace.
enum Step {
    Short(u64, &'static str),
    Long(u64, &'static str),
    Sized(u64, &'static str, u32),
    Solo(u64),
    HighPriority(u64),
    Expiring(u64, u64),
    Cancel(u64, CancelOutcome),
    Refused(u64, &'static str, RefusalCause),
    Progress(u64, u32),
    Finish(u64, u32),
    At(u64),
    Limits(Limits),
    Drain,
    MayStop(bool),
    Crash(&'static [u64], &'static [u64]),
    BackendUp,
    Expect(&'static [Command]),
}
use Step::*;

/// Runs the script and checks at each `Expect` that exactly the given commands were issued since the last one.
fn check(limits: Limits, script: &[Step]) {
    let mut scheduler = Scheduler::new(limits);
    let mut now = at(0);
    let submit = |scheduler: &mut Scheduler, now, job| scheduler.submit(now, job).expect("admitted");
    for step in script {
        match step {
            Short(id, workspace) => submit(&mut scheduler, now, job(*id, workspace, 10)),
            Long(id, workspace) => submit(&mut scheduler, now, job(*id, workspace, 500)),
            Sized(id, workspace, tokens) => submit(&mut scheduler, now, job(*id, workspace, *tokens)),
            Solo(id) => submit(&mut scheduler, now, Job { solo: true, ..job(*id, "a", 10) }),
            HighPriority(id) => submit(&mut scheduler, now, Job { priority: 2, ..job(*id, "a", 10) }),
            Expiring(id, ms) => submit(&mut scheduler, now, Job { deadline: at(*ms), ..job(*id, "a", 10) }),
            Cancel(id, outcome) => assert_eq!(scheduler.cancel(now, JobId(*id)), *outcome, "cancel {id}"),
            Refused(id, workspace, cause) => {
                let refusal = scheduler.submit(now, job(*id, workspace, 10)).expect_err("refused");
                assert_eq!(refusal.cause, *cause, "submit {id}");
            }
            Progress(id, tokens) => scheduler.progress(now, JobId(*id), *tokens),
            Finish(id, tokens) => scheduler.finish(now, JobId(*id), *tokens),
            At(ms) => {
                now = at(*ms);
                scheduler.tick(now);
            }
            Limits(limits) => scheduler.apply_limits(now, *limits),
            Drain => scheduler.drain(now),
            MayStop(stop) => assert_eq!(scheduler.may_stop(now), *stop, "at {now:?}"),
            Crash(suspects, handed_back) => {
                let crash = scheduler.backend_crashed();
                assert_eq!(crash.suspects.iter().map(|suspect| suspect.id.0).collect::<Vec<_>>(), *suspects);
                assert_eq!(crash.handed_back.iter().map(|id| id.0).collect::<Vec<_>>(), *handed_back);
            }
            BackendUp => scheduler.backend_up(now),
            Expect(commands) => {
                let given: Vec<_> = std::iter::from_fn(|| scheduler.next_command()).collect();
                assert_eq!(given, *commands);
            }
        }
    }
    assert_eq!(scheduler.next_command(), None, "the script does not expect this command");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $limits:expr, [$($step:expr),+ $(,)?];)+) => {
        $($(#[$doc])* #[test] fn $name() { check($limits, &[$($step),+]); })+
    };
}

const START_1: Command = Command::Start(JobId(1));
const START_2: Command = Command::Start(JobId(2));
const START_3: Command = Command::Start(JobId(3));
const START_4: Command = Command::Start(JobId(4));
const START_5: Command = Command::Start(JobId(5));

cases! {
    // Guards against head-of-line blocking: short work that waits behind queued long work.
    short_goes_before_waiting_long: LIMITS, [
        Long(1, "a"), Long(2, "a"), Long(3, "a"), Short(4, "b"), Expect(&[START_1, START_2]),
        Finish(1, 500), Expect(&[START_4]),
    ];
    // Guards against long work that starves under a steady flow of short work.
    aged_long_work_goes_first: LIMITS, [
        Short(1, "a"), Short(2, "a"), Long(3, "a"), Short(4, "a"), Expect(&[START_1, START_2]),
        At(100), Finish(1, 10), Expect(&[START_3]), Finish(2, 10), Expect(&[START_4]),
    ];
    // Guards against aged long work that exceeds its share while short work waits.
    aged_long_work_stays_within_its_share: LIMITS, [
        Long(1, "a"), Short(2, "a"), Long(3, "a"), Short(4, "a"), Expect(&[START_1, START_2]),
        At(500), Finish(2, 10), Expect(&[START_4]), Finish(1, 500), Expect(&[START_3]),
    ];
    // Guards against a workspace that starves the others by submitting more jobs.
    workspaces_alternate: LIMITS, [
        Short(1, "big"), Short(2, "big"), Short(3, "big"), Short(4, "small"), Expect(&[START_1, START_2]),
        Finish(1, 10), Expect(&[START_4]), Finish(2, 10), Expect(&[START_3]),
    ];
    // Guards against a workspace that gets more than its fair share by estimating too low.
    tokens_beyond_the_estimate_are_charged: Limits { slots: 1, ..LIMITS }, [
        Sized(1, "a", 10), Sized(2, "a", 10), Sized(3, "b", 60), Sized(4, "b", 10), Expect(&[START_1]),
        Progress(1, 90), Finish(1, 90), Expect(&[START_3]), Finish(3, 60), Expect(&[START_4]),
    ];
    // Guards against long work with a low estimate that evades the share of long work.
    job_beyond_its_estimate_is_reclassified: LIMITS, [
        Sized(1, "a", 90), Short(2, "b"), Long(3, "b"), Short(4, "b"), Expect(&[START_1, START_2]),
        Progress(1, 101), At(500), Finish(2, 10), Expect(&[START_4]),
    ];
    higher_priority_goes_first_in_its_workspace: Limits { slots: 1, ..LIMITS }, [
        Short(1, "a"), Short(2, "a"), HighPriority(3), Expect(&[START_1]), Finish(1, 10), Expect(&[START_3]),
    ];
    // Guards against starting a job after its caller was told that it did not run.
    cancelled_waiting_job_never_starts: LIMITS, [
        Short(1, "a"), Short(2, "a"), Short(3, "a"), Expect(&[START_1, START_2]),
        Cancel(3, CancelOutcome::Removed), Cancel(1, CancelOutcome::Running), Cancel(9, CancelOutcome::Unknown),
        Expect(&[Command::CancelRunning(JobId(1))]), Finish(1, 3), Cancel(1, CancelOutcome::Unknown),
    ];
    expired_job_is_dropped: LIMITS, [
        Short(1, "a"), Short(2, "a"), Expiring(3, 50), Expect(&[START_1, START_2]),
        At(50), Expect(&[Command::Drop(JobId(3), DropReason::DeadlinePassed)]), Finish(1, 10),
    ];
    // Guards against a queue that grows without bound, and against one workspace that fills it.
    queue_is_bounded: Limits { queue_limit: 4, ..LIMITS }, [
        Short(1, "a"), Short(2, "a"), Short(3, "a"), Short(4, "a"), Short(5, "a"), Expect(&[START_1, START_2]),
        Refused(6, "a", RefusalCause::WorkspaceLimit), Short(7, "b"),
        Refused(8, "b", RefusalCause::QueueFull),
    ];
    // Guards against a suspected request whose crash takes other requests down with it.
    solo_runs_alone: LIMITS, [
        Short(1, "a"), Solo(2), Short(3, "a"), Short(4, "a"), Expect(&[START_1, START_3]),
        At(100), Finish(1, 10), Expect(&[]), Finish(3, 10), Expect(&[START_2]),
        Short(5, "a"), Expect(&[]), Finish(2, 10), Expect(&[START_4, START_5]),
    ];
    // Guards against short work that waits until all the suspected requests of a crash have run in a row.
    suspects_alternate_with_other_work: LIMITS, [
        Solo(1), Solo(2), Short(3, "a"), Expect(&[START_1]), At(100), Finish(1, 10), Expect(&[START_3]),
        Short(4, "a"), Finish(3, 10), Expect(&[START_2]), Finish(2, 10), Expect(&[START_4]),
    ];
    // Guards against a suspected request that waits until it has aged although the server will be empty soon, and
    // against one that holds up other work while a long job runs. 1 token takes 1 ms here.
    suspect_holds_up_work_while_the_server_is_nearly_empty: Limits { ageing_ms: 60_000, ..LIMITS }, [
        Short(1, "a"), At(10), Finish(1, 10), Sized(2, "a", 90), Solo(3), Short(4, "a"),
        Expect(&[START_1, START_2]), At(100), Finish(2, 90), Expect(&[START_3]),
        At(110), Finish(3, 10), Expect(&[START_4]), At(120), Finish(4, 10),
        Long(5, "a"), Solo(6), Short(7, "a"), Expect(&[START_5, Command::Start(JobId(7))]),
    ];
    // Guards against a drain that interrupts running work or starts queued work.
    drain_hands_back: LIMITS, [
        Short(1, "a"), Short(2, "a"), Short(3, "a"), Expect(&[START_1, START_2]), Drain,
        Expect(&[Command::Drop(JobId(3), DropReason::Draining)]),
        Refused(4, "a", RefusalCause::Draining), Finish(1, 10), Finish(2, 10), Expect(&[]),
    ];
    // Guards against an agent that stops before the entry instances have learned of its drain.
    drained_agent_stays_for_the_notice_period: LIMITS, [
        MayStop(false), Drain, MayStop(false), At(3_999), MayStop(false), At(4_000), MayStop(true),
    ];
    // Guards against an agent that stops with work in flight.
    drained_agent_waits_for_running_work: LIMITS, [
        Short(1, "a"), Expect(&[START_1]), Drain, At(4_000), MayStop(false), Drain, Finish(1, 10), MayStop(true),
    ];
    // Guards against attributing a crash to a job that never started.
    crash_suspects_running_jobs: LIMITS, [
        Short(1, "a"), Short(2, "a"), Short(3, "a"), Expect(&[START_1, START_2]), Crash(&[1, 2], &[]),
        Expect(&[Command::Drop(JobId(3), DropReason::BackendDown)]),
        Refused(4, "a", RefusalCause::BackendDown), BackendUp, Short(5, "a"), Expect(&[START_5]),
    ];
    // Guards against attributing a crash to a job that was paused at the time.
    crash_hands_paused_work_back: Limits { pause_after_ms: Some(20), ..LIMITS }, [
        Long(1, "a"), Long(2, "a"), Short(3, "b"), Expect(&[START_1, START_2]),
        At(20), Expect(&[Command::Pause(JobId(2)), START_3]),
        Crash(&[1, 3], &[2]),
    ];
    // Guards against work that is lost or keeps its old class when the preset is switched.
    preset_switch_keeps_work: Limits { slots: 1, ..LIMITS }, [
        Short(1, "a"), Sized(2, "a", 50), Sized(3, "b", 20), Expect(&[START_1]),
        Limits(Limits { slots: 1, long_work_tokens: 30, ..LIMITS }), Finish(1, 10), Expect(&[START_3]),
        Limits(Limits { slots: 2, ..LIMITS }), Expect(&[START_2]),
    ];
    // Guards against short work that waits until long jobs beyond the share of long work have ended.
    long_is_paused_for_short: Limits { pause_after_ms: Some(20), ..LIMITS }, [
        Long(1, "a"), Long(2, "a"), Short(3, "b"), Expect(&[START_1, START_2]),
        At(20), Expect(&[Command::Pause(JobId(2)), START_3]),
        Finish(3, 10), Expect(&[Command::Resume(JobId(2))]),
    ];
}

// Guards against small workspaces that starve behind a large one: nine small workspaces submit one job each while 75
// jobs of a large one wait, and all nine must start among the first 20 jobs.
#[test]
fn nine_small_workspaces_are_served() {
    let mut scheduler = Scheduler::new(Limits { slots: 2, queue_limit: 100, ..LIMITS });
    for id in 0..75 {
        scheduler.submit(at(0), job(id, "big", 50)).expect("admitted");
    }
    for small in 0..9 {
        scheduler.submit(at(1), job(100 + small, &format!("small-{small}"), 50)).expect("admitted");
    }
    let mut order = Vec::new();
    while let Some(command) = scheduler.next_command() {
        let Command::Start(id) = command else { panic!("unexpected {command:?}") };
        order.push(id.0);
        scheduler.finish(at(order.len() as u64 * 10), id, 50);
    }
    let last_small = order.iter().rposition(|id| *id >= 100).expect("small workspaces are served");
    assert_eq!(order.len(), 84);
    assert!(last_small < 2 + 9 + 9, "the last small job started as number {last_small}");
}

// Guards against admitting work that cannot meet its deadline, and against refusing a small workspace because of the
// queue of a large one.
#[test]
fn predicted_deadline_miss_is_refused() {
    let mut scheduler = Scheduler::new(Limits { slots: 1, queue_limit: 100, ..LIMITS });
    scheduler.submit(at(0), job(0, "big", 100)).expect("admitted");
    scheduler.finish(at(1_000), JobId(0), 100);
    for id in 1..=20 {
        scheduler.submit(at(1_000), job(id, "big", 100)).expect("admitted");
    }
    let due = |id, workspace| Job { deadline: at(6_000), ..job(id, workspace, 100) };
    let refusal = scheduler.submit(at(1_000), due(30, "big")).expect_err("21 s of work wait");
    assert_eq!(refusal.cause, RefusalCause::WouldMissDeadline);
    assert_eq!(scheduler.submit(at(1_000), due(31, "small")), Ok(()));
}

/// A random event.
#[derive(Clone, Debug)]
struct Event {
    kind: u8,
    id: u8,
    tokens: u16,
    workspace: u8,
    after_ms: u8,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 24,
            id: u8::arbitrary(g),
            tokens: u16::arbitrary(g) % 400,
            workspace: u8::arbitrary(g) % 5,
            after_ms: u8::arbitrary(g) % 40,
        }
    }
}

/// Executes the commands, and fails on a command that is not valid in the state of its job.
fn execute_commands(scheduler: &mut Scheduler, open: &mut BTreeSet<JobId>, started: &mut BTreeSet<JobId>) {
    while let Some(command) = scheduler.next_command() {
        let valid = match command {
            Command::Start(id) => open.contains(&id) && started.insert(id),
            Command::Drop(id, _) => open.remove(&id) && !started.contains(&id),
            Command::CancelRunning(id) | Command::Pause(id) | Command::Resume(id) => started.contains(&id),
        };
        assert!(valid, "{command:?}");
    }
}

// Guards against a job that is lost, started twice, or started after it was dropped. The scheduler's invariants panic
// in this build.
#[test]
fn random_runs_account_for_every_job() {
    for seed in 0..200 {
        let events = Vec::<Event>::arbitrary(&mut Gen::from_size_and_seed(600, seed));
        let mut scheduler = Scheduler::new(Limits { slots: 3, pause_after_ms: Some(15), ..LIMITS });
        let mut open = BTreeSet::new();
        let mut started = BTreeSet::new();
        let (mut now, mut next) = (at(0), 0);
        for event in events {
            now = now.plus_millis(u64::from(event.after_ms));
            scheduler.tick(now);
            execute_commands(&mut scheduler, &mut open, &mut started);
            let started_id = started.iter().nth(usize::from(event.id) % started.len().max(1)).copied();
            match (event.kind, started_id) {
                (0..=10, _) => {
                    next += 1;
                    let solo = event.kind == 0;
                    let deadline = now.plus_millis(u64::from(event.id) * 8);
                    let job = Job {
                        solo,
                        deadline,
                        ..job(next, &event.workspace.to_string(), event.tokens.into())
                    };
                    if scheduler.submit(now, job).is_ok() {
                        open.insert(JobId(next));
                    }
                }
                (11..=18, Some(id)) => {
                    scheduler.finish(now, id, event.tokens.into());
                    assert!(started.remove(&id) && open.remove(&id));
                }
                (19, Some(id)) => scheduler.progress(now, id, event.tokens.into()),
                (20, _) => {
                    let id = JobId(next.saturating_sub(u64::from(event.id % 8)));
                    if scheduler.cancel(now, id) == CancelOutcome::Removed {
                        assert!(open.remove(&id) && !started.contains(&id), "seed {seed}");
                    }
                }
                (21, _) => {
                    let slots = 1 + u32::from(event.id % 4);
                    let long_work_tokens = event.tokens.into();
                    scheduler.apply_limits(now, Limits { slots, long_work_tokens, ..*scheduler.limits() });
                }
                (22, _) => {
                    let crash = scheduler.backend_crashed();
                    let suspects = crash.suspects.iter().map(|suspect| suspect.id);
                    for id in suspects.chain(crash.handed_back) {
                        assert!(started.remove(&id) && open.remove(&id), "seed {seed}");
                    }
                }
                _ => scheduler.backend_up(now),
            }
            execute_commands(&mut scheduler, &mut open, &mut started);
        }
        let load = scheduler.load(now);
        assert_eq!((load.queued + load.running) as usize, open.len(), "seed {seed}");
    }
}

// Guards against a table of workspaces that grows with every job that is cancelled while it waits.
#[test]
fn cancelled_jobs_leave_no_workspaces() {
    let mut scheduler = Scheduler::new(Limits { slots: 1, ..LIMITS });
    scheduler.submit(at(0), job(0, "busy", 50)).expect("admitted");
    for id in 1..=50 {
        scheduler.submit(at(0), job(id, &format!("w{id}"), 50)).expect("admitted");
        assert_eq!(scheduler.cancel(at(0), JobId(id)), CancelOutcome::Removed);
    }
    assert_eq!(scheduler.status(at(0)).workspaces.len(), 1);
}
