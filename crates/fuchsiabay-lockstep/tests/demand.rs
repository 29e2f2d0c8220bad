//! Demand that is read from the ranks: compact deltas, and the limit on queries that pause the group.

use fuchsiabay_base::Timestamp;
use fuchsiabay_lockstep::{DemandCounter, DemandCounts, DemandDelta, ExpertDemand, PauseBudget};
use quickcheck::quickcheck;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + ms)
}

fn counts(epoch: u64, counts: &[u64]) -> DemandCounts {
    DemandCounts { epoch, step: 1, counts: counts.to_vec() }
}

/// Passes `series` through a counter and checks the tokens of the last delta, of one set with two experts.
fn check(series: &[DemandCounts], expected: &[f64]) {
    let mut counter = DemandCounter::default();
    let mut last = DemandDelta::baseline(0, 0);
    for counts in series {
        last = counter.advance(counts.clone());
    }
    assert_eq!(last.tokens().collect::<Vec<_>>(), expected);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

cases! {
    first_counts_are_a_baseline(&[counts(1, &[5, 9])], &[]);
    later_counts_are_differences(&[counts(1, &[5, 9]), counts(1, &[6, 9])], &[1.0, 0.0]);
    /// Guards against the whole history of a rank that counts as the demand of one moment.
    restarted_rank_starts_with_a_baseline(&[counts(1, &[5, 9]), counts(1, &[1, 10])], &[]);
    another_epoch_starts_with_a_baseline(&[counts(1, &[5, 9]), counts(2, &[6, 10])], &[]);
}

quickcheck! {
    /// Guards against an encoding that loses more than half a unit of an expert's tokens.
    fn encoded_deltas_are_close(old: Vec<u64>, added: Vec<u32>) -> bool {
        let old: Vec<u64> = old.iter().map(|count| count / 2).take(added.len()).collect();
        let new: Vec<u64> = old.iter().zip(&added).map(|(old, added)| old + u64::from(*added)).collect();
        let delta = DemandDelta::decode(&DemandDelta::between(&old, &new, 7, 8).encode()).unwrap();
        let largest = added.iter().take(old.len()).copied().max().unwrap_or(0);
        let allowed = f64::from(largest) / 255.0 + 1.0;
        (delta.epoch, delta.step) == (7, 8)
            && delta.tokens().len() == old.len()
            && delta.tokens().zip(&added).all(|(tokens, added)| (tokens - f64::from(*added)).abs() <= allowed)
    }

    /// Guards against a panic on bytes that are no delta.
    fn any_bytes_can_be_decoded(bytes: Vec<u8>) -> bool {
        DemandDelta::decode(&bytes).is_none_or(|delta| delta.tokens().len() + 24 == bytes.len())
    }
}

/// Guards against a delta of another shape, such as one of an engine with other experts, that is added to the demand.
#[test]
fn delta_of_another_shape_is_ignored() {
    let mut demand = ExpertDemand::new(1, 2, at(0));
    demand.record(&DemandDelta::between(&[0, 0, 0], &[1, 1, 1], 1, 1), at(1));
    assert_eq!(demand.total_tokens(), 0.0);
    demand.record(&DemandDelta::between(&[0, 0], &[3, 4], 1, 1), at(1));
    assert_eq!(demand.total_tokens(), 7.0);
}

/// Guards against queries that stop the group: agents of 192 ranks with 3,840 counts each respond late for 10 s, and the
/// coordinator tries to query every rank directly every 250 ms. The group may be paused for 1% of the time.
#[test]
fn direct_queries_pause_the_group_for_one_percent_of_the_time() {
    const COUNTS: usize = 3_840;
    let mut budget = PauseBudget::default();
    let queries = (0..40).flat_map(|round| (0..192).map(move |_| at(round * 250)));
    let allowed = queries.filter(|now| budget.try_take(COUNTS, *now)).count();
    let paused_ms = allowed as f64 * COUNTS as f64 / 800.0;
    assert!(allowed > 0 && paused_ms <= 10_000.0 * 0.011, "{allowed} queries pause for {paused_ms} ms");
}
