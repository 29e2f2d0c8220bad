//! Every kind of order, executed seconds after it was sent, before, during and after a change of the coordinator, while the
//! group works or is idle. On virtual time.

use fuchsiabay_prove::{LockstepAction, OrderKind, Promise, Script, Step};

/// The number of runs of each cell, with other delays and other ages of the reported states.
const SEEDS: u64 = 3;
/// When orders of the kind begin to be late, in milliseconds. The first switches begin at that time, too.
const LATE_AT_MS: u64 = 1_000;
/// How long they are, in milliseconds.
const LATE_MS: u64 = 900;
/// When the change of the coordinator happens, in milliseconds.
const CHANGES_AT_MS: std::ops::Range<u64> = 1_000..2_200;
/// The interval between these times, in milliseconds.
const CHANGE_INTERVAL_MS: usize = 75;
/// For how long an idle group has no work, in milliseconds. Late orders are executed until then.
const IDLE_MS: u64 = 9_000;

/// Returns a script in which orders of `kind` are late while `change` happens at `at_ms`.
fn script(kind: OrderKind, change: Option<&LockstepAction>, at_ms: u64, is_idle: bool) -> Script {
    let late = |kind| Step { at_ms: LATE_AT_MS, action: LockstepAction::DelayOrders { kind, ms: LATE_MS } };
    let mut steps = vec![late(kind)];
    // Without a late arm order, no order is revoked.
    steps.extend((kind == OrderKind::Disarm).then(|| late(OrderKind::Arm)));
    steps.extend(change.map(|change| Step { at_ms, action: change.clone() }));
    steps.extend(is_idle.then_some(Step { at_ms, action: LockstepAction::Idle { ms: IDLE_MS } }));
    steps.sort_by_key(|step| step.at_ms);
    Script::Lockstep(steps)
}

fn check(change: Option<LockstepAction>) {
    for kind in OrderKind::ALL {
        for is_idle in [false, true] {
            for at_ms in CHANGES_AT_MS.step_by(CHANGE_INTERVAL_MS) {
                let script = script(kind, change.as_ref(), at_ms, is_idle);
                for seed in 0..SEEDS {
                    let violations = script.run(Promise::LockstepMap, seed).violations;
                    assert!(
                        violations.is_empty(),
                        "{kind:?} late, idle {is_idle}, change at {at_ms} ms, seed {seed}: {violations:?}"
                    );
                }
            }
        }
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $change:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check($change); })*
    };
}

cases! {
    /// Guards against a step that stays held because the first copy of a hold order is executed after its release.
    sender_lives: None;
    /// Guards against ranks that are armed by orders of a killed coordinator, after its successor released the step.
    sender_is_killed: Some(LockstepAction::Kill);
    /// Guards against a restarted coordinator that chooses the versions and the steps of its previous process again.
    sender_is_restarted: Some(LockstepAction::Restart { ms: 500 });
    sender_is_frozen_for_a_moment: Some(LockstepAction::Freeze { ms: 700 });
    sender_is_frozen_until_it_has_lost_the_lease: Some(LockstepAction::Freeze { ms: 2_500 });
    sender_loses_the_lease: Some(LockstepAction::Reassign);
    sender_is_cut_off_from_the_holding_rank: Some(LockstepAction::HideRank { rank: 0, ms: 1_500 });
    sender_is_cut_off_from_another_rank: Some(LockstepAction::HideRank { rank: 2, ms: 1_500 });
    group_is_formed_again: Some(LockstepAction::Regroup);
}
