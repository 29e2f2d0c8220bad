//! Recoveries whose orders get no reply.

use std::sync::Arc;

use fastrand::Rng;
use fuchsiabay_lockstep::{ExpertLayout, Order, OrderReply, RankState, Recovery, ReplacementLayout};

/// The number of recoveries of a case.
const RUNS: u64 = 1_000;

/// Returns a rank of a group of `ranks` whose first rank holds a step that no rank is armed for.
fn state(rank: usize, ranks: usize) -> RankState {
    RankState {
        epoch: 1,
        rank: rank as u16,
        group_size: ranks as u16,
        is_open: true,
        slowdown: 1.0,
        step: 4,
        map_version: 0,
        prepared: Some(4_097),
        armed: None,
        held: (rank == 0).then_some(6),
    }
}

/// Recovers groups of `ranks` ranks while `lost_percent` of the orders get no reply. Checks that the step is released in all but
/// `max_held` of the runs, and only after every rank has prepared the replacement.
fn check(ranks: usize, lost_percent: u32, max_held: u64) {
    let states: Vec<_> = (0..ranks).map(|rank| state(rank, ranks)).collect();
    let recovery = Recovery::from_states(&states, None).expect("a step is held");
    let replacement =
        ReplacementLayout { version: 8_193, layout: Arc::new(ExpertLayout { sets: Vec::new() }) };
    let mut held = 0;
    for seed in 0..RUNS {
        let mut rng = Rng::with_seed(seed);
        let mut run = recovery.start(Some(&replacement));
        let (mut prepared, mut is_released) = (vec![false; ranks], false);
        while !run.orders().is_empty() {
            let mut replies = Vec::new();
            for (rank, order) in run.orders() {
                let is_lost = rng.u32(..100) < lost_percent;
                match order {
                    Order::Prepare { .. } if !is_lost => prepared[rank] = true,
                    Order::Release { .. } => {
                        assert!(prepared.iter().all(|is_prepared| *is_prepared), "seed {seed}");
                        is_released |= rank == 0 && !is_lost;
                    }
                    _ => {}
                }
                replies.push(if is_lost { OrderReply::Unanswered } else { OrderReply::Accepted });
            }
            run.handle_replies(&replies);
        }
        held += u64::from(!is_released);
    }
    assert!(held <= max_held, "{held} of {RUNS} groups stay held");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),*);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

cases! {
    recovery_without_losses_releases_the_step(16, 0, 0);
    /// Guards against groups that stay held while orders are lost, because each stage had to be accepted at the first attempt.
    recovery_of_2_ranks_survives_lost_orders(2, 35, 10);
    recovery_of_16_ranks_survives_lost_orders(16, 35, 10);
    recovery_of_64_ranks_survives_lost_orders(64, 35, 10);
}
