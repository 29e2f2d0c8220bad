//! What instances that tell each other of crashes refuse.

#[path = "support/ledger.rs"]
mod support;

use fuchsiabay_balancer::CrashLedger;
use quickcheck::quickcheck;
use support::{RUN, at, is_refused, server, suspects, tell};

/// The time after which a loss of connections counts as a crash if the server stays silent, with a margin.
const CONFIRMED_MS: u64 = 1_000;

/// The largest number of crashes of a case.
const MAX_CRASHES: usize = 12;

/// Instances that exchange crashes as neighbours do: pairs of them in turn, in both directions.
struct Instances(Vec<(CrashLedger, Vec<u64>)>);

impl Instances {
    fn new(count: usize) -> Self {
        Self(vec![(CrashLedger::default(), vec![0; count]); count])
    }

    /// Sends what changed at `from` since the last time to `to`.
    fn send(&mut self, from: usize, to: usize, ms: u64) {
        let [(from, sent), (other, _)] = self.0.get_disjoint_mut([from, to]).unwrap();
        sent[to] = tell(from, other, sent[to], ms);
    }

    /// Has each instance exchange with the next one, `rounds` times.
    fn exchange(&mut self, rounds: u64, ms: u64) {
        for round in 0..rounds {
            for i in 0..self.0.len() {
                let next = (i + 1) % self.0.len();
                self.send(i, next, ms + 250 * round);
                self.send(next, i, ms + 250 * round);
            }
        }
    }
}

/// Guards against a bad part that crashes servers at every instance, because each one sees too few of the crashes.
#[test]
fn crashes_at_different_instances_add_up() {
    let mut instances = Instances::new(3);
    for n in 0..3 {
        let bad = suspects(&format!("f{n},bad,own{n}"), &format!("bad{n}"));
        instances.0[n as usize].0.record_loss(&server(n), &bad, at(4_000 * n), at(4_000 * n));
    }
    instances.exchange(4, 8_000 + CONFIRMED_MS);
    for (ledger, _) in &mut instances.0 {
        assert!(is_refused(ledger, &suspects("f7,bad,new", "new"), 11_000));
        assert!(!is_refused(ledger, &suspects("f1,new", "new"), 11_000));
    }
}

/// Guards against a crash that does not count because another instance has refuted an earlier loss of the server.
#[test]
fn crash_soon_after_a_loss_that_another_instance_refuted_counts() {
    let mut instances = Instances::new(2);
    let bad = suspects("", "bad");
    for n in 0..3 {
        let lost_at = 4_000 * n;
        instances.0[1].0.record_loss(&server(n), &suspects("", "other"), at(lost_at), at(lost_at));
        instances.0[1].0.record_report(&server(n), at(lost_at + 50), at(lost_at + 60));
        instances.0[0].0.record_loss(&server(n), &bad, at(lost_at), at(lost_at + 300));
        instances.exchange(8, lost_at + 500);
    }
    assert!(is_refused(&mut instances.0[0].0, &bad, 12_000));
    assert!(is_refused(&mut instances.0[1].0, &bad, 12_000));
}

/// Guards against a false loss that stays at an instance that cannot reach the server, while another one can.
#[test]
fn loss_that_another_instance_refutes_does_not_count() {
    let mut instances = Instances::new(2);
    let sound = suspects("", "sound");
    for n in 0..3 {
        let lost_at = 4_000 * n;
        instances.0[0].0.record_loss(&server(n), &sound, at(lost_at), at(lost_at));
        instances.exchange(2, lost_at + 500);
        instances.0[1].0.record_report(&server(n), at(lost_at + 1_000), at(lost_at + 1_010));
        instances.exchange(4, lost_at + 1_250);
    }
    assert!(!is_refused(&mut instances.0[0].0, &sound, 12_000));
    assert!(!is_refused(&mut instances.0[1].0, &sound, 12_000));
}

/// Guards against a crash that is forgotten because the instance that saw it ends soon after.
#[test]
fn crash_is_told_before_it_counts() {
    let mut instances = Instances::new(2);
    let bad = suspects("", "bad");
    instances.0[0].0.record_loss(&server(0), &bad, at(0), at(0));
    instances.exchange(1, 250);
    (1..3).for_each(|n| instances.0[1].0.record_loss(&server(n), &bad, at(4_000 * n), at(4_000 * n)));
    assert!(is_refused(&mut instances.0[1].0, &bad, 8_000 + CONFIRMED_MS));
}

/// Guards against a restarted instance that sends bad requests to servers until it has seen crashes itself.
#[test]
fn restarted_instance_learns_the_crashes_of_its_neighbours() {
    let mut instances = Instances::new(2);
    for n in 0..40 {
        let bad = suspects("f,bad,own", &format!("bad{n}"));
        instances.0[0].0.record_loss(&server(n), &bad, at(1_000 * n), at(1_000 * n));
    }
    instances.exchange(4, 41_000);
    instances.0[1].0 = CrashLedger::default();
    instances.0[0].1[1] = 0;
    instances.exchange(1, 43_000);
    assert!(is_refused(&mut instances.0[1].0, &suspects("g,bad,new", "new"), 43_500));
}

/// Guards against an instance that has just started and serves a request before the crashes that it was told of count.
#[test]
fn crashes_count_at_once_at_an_instance_that_has_just_started() {
    let mut instances = Instances::new(2);
    let bad = suspects("", "bad");
    (0..3).for_each(|n| instances.0[0].0.record_loss(&server(n), &bad, at(4_000 * n), at(4_000 * n)));
    instances.exchange(1, 10_000);
    instances.0[1].0 = CrashLedger::default();
    instances.0[0].1[1] = 0;
    instances.send(0, 1, 12_000);
    assert!(is_refused(&mut instances.0[1].0, &bad, 12_000));
}

/// Guards against an instance that has just started and is told of many losses that were refuted before it is told of a crash.
#[test]
fn instance_that_has_just_started_is_told_of_crashes_first() {
    let mut instances = Instances::new(2);
    let bad = suspects("", "bad");
    for rank in 100..200 {
        let ledger = &mut instances.0[0].0;
        ledger.record_loss(&server(rank), &suspects("", &format!("{rank}")), at(0), at(0));
        ledger.advance(at(450));
    }
    (100..200).for_each(|rank| instances.0[0].0.record_report(&server(rank), at(600), at(610)));
    instances.0[0].0.advance(at(800));
    (0..3).for_each(|n| instances.0[0].0.record_loss(&server(n), &bad, at(4_000 * n), at(4_000 * n)));
    instances.send(0, 1, 12_000);
    assert!(is_refused(&mut instances.0[1].0, &bad, 12_100));
}

/// Guards against an instance that refuses a sound part because only other instances have seen that servers survive it.
#[test]
fn survivals_at_one_instance_clear_a_part_at_all() {
    let mut instances = Instances::new(3);
    (0..3).for_each(|ms| instances.0[2].0.record_survival(&suspects("a,own", "x"), RUN, at(ms)));
    for n in 0..3 {
        instances.0[0].0.record_loss(
            &server(n),
            &suspects("a,own", &format!("b{n}")),
            at(1_000 * (n + 1)),
            at(1_000 * (n + 1)),
        );
    }
    instances.exchange(4, 5_000);
    for (ledger, _) in &mut instances.0 {
        assert!(!is_refused(ledger, &suspects("a,new", "new"), 7_000));
    }
}

/// Guards against an instance that takes a sound part for the cause, because only another one has seen a server survive it.
#[test]
fn one_survival_at_another_instance_tells_a_sound_part_from_the_bad_one() {
    let mut instances = Instances::new(3);
    instances.0[2].0.record_survival(&suspects("f,a,own", "x"), RUN, at(0));
    for n in 0..3 {
        instances.0[0].0.record_loss(
            &server(n),
            &suspects("bad,a,own", &format!("b{n}")),
            at(4_000 * n),
            at(4_000 * n),
        );
    }
    instances.exchange(4, 8_000 + CONFIRMED_MS);
    for (ledger, _) in &mut instances.0 {
        assert!(is_refused(ledger, &suspects("bad,new", "new"), 11_000));
        assert!(!is_refused(ledger, &suspects("g,a,new", "new"), 11_000));
    }
}

quickcheck! {
    /// Guards against instances that judge differently although they have told each other everything, whatever the order.
    fn instances_agree(losses: Vec<(u8, u8, u8, u16)>) -> bool {
        let mut instances = Instances::new(3);
        let mut losses: Vec<_> = losses.into_iter().take(MAX_CRASHES).collect();
        losses.sort_unstable_by_key(|(.., ms)| *ms);
        for (n, (instance, id, part, ms)) in losses.iter().enumerate() {
            let parts = format!("p{},own", part % 3);
            let ledger = &mut instances.0[usize::from(instance % 3)].0;
            ledger.record_loss(&server(u64::from(id % 8)), &suspects(&parts, &format!("b{n}")), at(u64::from(*ms)), at(u64::from(*ms)));
        }
        instances.exchange(8, 70_000);
        let refused = |ledger: &mut CrashLedger| -> Vec<bool> {
            (0..3).map(|part| is_refused(ledger, &suspects(&format!("p{part},new"), "new"), 75_000)).collect()
        };
        let verdicts: Vec<_> = instances.0.iter_mut().map(|(ledger, _)| refused(ledger)).collect();
        verdicts.iter().all(|verdict| *verdict == verdicts[0])
    }
}

/// Guards against a crash that is known at one instance only, because another one saw a stream of the server end later.
#[test]
fn later_loss_of_a_server_does_not_replace_an_earlier_one() {
    let mut instances = Instances::new(2);
    let bad = suspects("", "bad");
    for crash in 0..3 {
        let lost_at = 4_000 * crash;
        instances.0[0].0.record_loss(&server(crash), &bad, at(lost_at), at(lost_at));
        let other = suspects("", &format!("other{crash}"));
        instances.0[1].0.record_loss(&server(crash), &other, at(lost_at), at(lost_at + 1_500));
        instances.exchange(8, lost_at + 500);
    }
    assert!(is_refused(&mut instances.0[0].0, &bad, 12_000));
    assert!(is_refused(&mut instances.0[1].0, &bad, 12_000));
}
