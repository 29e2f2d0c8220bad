//! The order gate with a simulated engine on virtual time.

use fuchsiabay_base::Timestamp;
use fuchsiabay_fencing::{EngineState, GateCommand, Order, OrderGate, OrderKind, OrderRefusal, SendOutcome};
use quickcheck::{Arbitrary, Gen};

const FAR_DEADLINE_MS: u64 = 1_000_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn order(fence: u64, kind: OrderKind, target: &str, deadline_ms: u64) -> Order {
    Order { kind, target: target.to_owned(), fence, deadline: at(deadline_ms) }
}

fn state(model: Option<&str>) -> EngineState {
    let values = model.map(|model| (OrderKind::LoadModel, model.to_owned())).into_iter().collect();
    EngineState { values, highest_fence: None }
}

/// A step of a script: an event, or a command that the gate must issue. Every `u64` is a fencing token or a time in
/// milliseconds; see `check`.
enum Step {
    Model(u64, &'static str),
    Role(u64, &'static str),
    Until(u64, &'static str, u64),
    Stale(u64, u64),
    Read(u64, Option<&'static str>),
    ReadFails(u64),
    Send(u64, u64, &'static str, SendOutcome),
    Nothing(u64),
    Invalidate,
}
use Step::*;

fn check(script: &[Step]) {
    let mut gate = OrderGate::default();
    for step in script {
        match step {
            Model(fence, target) => {
                assert_eq!(gate.accept(order(*fence, OrderKind::LoadModel, target, FAR_DEADLINE_MS)), Ok(()));
            }
            Role(fence, target) => {
                assert_eq!(gate.accept(order(*fence, OrderKind::SetRole, target, FAR_DEADLINE_MS)), Ok(()));
            }
            Until(fence, target, deadline) => {
                assert_eq!(gate.accept(order(*fence, OrderKind::LoadModel, target, *deadline)), Ok(()));
            }
            Stale(fence, high_water) => assert_eq!(
                gate.accept(order(*fence, OrderKind::LoadModel, "old", FAR_DEADLINE_MS)),
                Err(OrderRefusal::Stale { high_water: *high_water })
            ),
            Read(now, model) => {
                assert_eq!(gate.next_command(at(*now)), Some(GateCommand::ReadBack));
                gate.state_read(state(*model));
            }
            ReadFails(now) => {
                assert_eq!(gate.next_command(at(*now)), Some(GateCommand::ReadBack));
                gate.read_failed(at(*now));
            }
            Send(now, fence, target, outcome) => {
                let Some(GateCommand::Send(sent)) = gate.next_command(at(*now)) else {
                    panic!("the gate issued no send")
                };
                assert_eq!((sent.fence, sent.target.as_str()), (*fence, *target));
                assert_eq!(gate.next_command(at(*now)), None, "one order is outstanding");
                gate.send_finished(at(*now), *outcome);
            }
            Nothing(now) => assert_eq!(gate.next_command(at(*now)), None),
            Invalidate => gate.invalidate_engine_state(),
        }
    }
}

macro_rules! cases {
    ($($name:ident: [$($step:expr),+ $(,)?];)+) => { $(#[test] fn $name() { check(&[$($step),+]); })+ };
}

cases! {
    // Guards against a needless order to an engine that already has the value.
    state_is_read_before_the_first_send: [Model(3, "a"), Read(0, Some("a")), Nothing(0)];
    // Guards against a former token holder that reverts a newer order at an engine that ignores tokens.
    old_and_repeated_tokens_are_refused: [Model(3, "a"), Stale(3, 3), Stale(2, 3), Read(0, Some("a")), Nothing(0)];
    // Guards against a second send while the outcome of the first is unknown.
    unknown_outcome_is_read_back: [
        Model(3, "a"), Read(0, None), Send(0, 3, "a", SendOutcome::Unknown), Nothing(499),
        Read(500, Some("a")), Nothing(500),
    ];
    order_not_applied_after_an_unknown_outcome_is_sent_again: [
        Model(3, "a"), Read(0, None), Send(0, 3, "a", SendOutcome::Unknown), ReadFails(500), Nothing(999),
        Read(1_000, None), Send(1_000, 3, "a", SendOutcome::Applied), Nothing(1_000),
    ];
    // Guards against an order that takes effect after its author considers it expired.
    expired_orders_are_not_sent: [Until(3, "a", 100), Read(99, None), Nothing(100), Invalidate, Nothing(100)];
    // Guards against a restarted engine that stays without its model, or refuses it because of an old token.
    restarted_engine_is_reconciled: [
        Model(3, "a"), Role(4, "prefill"), Read(0, None), Send(0, 4, "a", SendOutcome::Applied),
        Send(0, 4, "prefill", SendOutcome::Applied), Nothing(0),
        Invalidate, Read(1, None), Send(1, 4, "a", SendOutcome::Applied),
    ];
    // Guards against a busy loop of sends that the engine refuses as stale.
    stale_token_is_not_sent_again_until_a_higher_one: [
        Model(3, "a"), Read(0, None), Send(0, 3, "a", SendOutcome::Stale), Nothing(FAR_DEADLINE_MS - 1),
        Model(9, "b"), Send(0, 9, "b", SendOutcome::Applied), Nothing(0),
    ];
    newer_order_replaces_the_older_one: [
        Model(3, "a"), Model(4, "b"), Read(0, None), Send(0, 4, "b", SendOutcome::Applied), Nothing(0),
    ];
}

// Guards against an engine that ends up with another value than that of the highest token, whichever orders and
// responses are lost. The invariants of the gate panic in this build.
#[test]
fn random_runs_converge() {
    for seed in 0..200 {
        let bytes = Vec::<u8>::arbitrary(&mut Gen::from_size_and_seed(400, seed));
        let mut gate = OrderGate::default();
        let mut engine = EngineState::default();
        let (mut now, mut newest) = (0, None);
        for (step, byte) in bytes.iter().enumerate() {
            now += u64::from(byte % 7) * 100;
            if byte % 5 == 0 {
                let fence = u64::from(*byte) + step as u64;
                let target = format!("model-{fence}");
                if gate.accept(order(fence, OrderKind::LoadModel, &target, u64::MAX)).is_ok() {
                    newest = Some(target);
                }
            }
            if byte % 31 == 1 {
                engine = EngineState::default();
                gate.invalidate_engine_state();
            }
            execute(&mut gate, &mut engine, at(now), byte % 4);
        }
        // Three rounds without loss: the unknown state is read, the order is sent, and no command remains.
        for _ in 0..3 {
            now += 1_000;
            execute(&mut gate, &mut engine, at(now), 0);
        }
        assert_eq!(engine.values.get(&OrderKind::LoadModel), newest.as_ref(), "seed {seed}");
        assert!(gate.is_converged(at(now)), "seed {seed}");
    }
}

/// Executes the next command at the engine. `loss` is what is lost: 0 nothing, 1 the response, 2 the order, 3 both.
fn execute(gate: &mut OrderGate, engine: &mut EngineState, now: Timestamp, loss: u8) {
    match gate.next_command(now) {
        Some(GateCommand::ReadBack) if loss == 0 => gate.state_read(engine.clone()),
        Some(GateCommand::ReadBack) => gate.read_failed(now),
        Some(GateCommand::Send(order)) => {
            if loss < 2 {
                engine.values.insert(order.kind, order.target);
            }
            let outcome = match loss {
                0 => SendOutcome::Applied,
                2 => SendOutcome::NotApplied,
                _ => SendOutcome::Unknown,
            };
            gate.send_finished(now, outcome);
        }
        None => {}
    }
}
