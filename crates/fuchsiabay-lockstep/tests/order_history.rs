//! What a coordinator remembers of its orders.

use fuchsiabay_base::Timestamp;
use fuchsiabay_lockstep::{LeaseTerm, Order, OrderHistory};

/// Guards against one version for two layouts, because no rank reports it while all copy their experts.
#[test]
fn version_that_no_rank_reports_yet_is_not_chosen_again() {
    let mut history = OrderHistory::default();
    let term = LeaseTerm { store_epoch: 1, generation: 6 };
    let first = history.choose_version("g", 0, term);
    history.record("g", 1, Timestamp::from_millis(100));
    assert!(history.choose_version("g", 0, term) > first);
    assert_eq!(history.choose_version("other", 0, term), first);
}

/// Guards against a group that has been formed anew and waits for reports of orders that have no effect.
#[test]
fn orders_of_another_epoch_are_not_waited_for() {
    let mut history = OrderHistory::default();
    history.record("g", 1, Timestamp::from_millis(1_000));
    let is_reported = |epoch, at| history.is_reported("g", epoch, Timestamp::from_millis(at));
    assert_eq!([is_reported(1, 1_499), is_reported(1, 1_500), is_reported(2, 1_000)], [false, true, true]);
}

/// Guards against a step that is held a second time in its epoch, so that a late release order for it takes effect.
#[test]
fn held_steps_are_known_from_the_first_order_on() {
    let mut history = OrderHistory::default();
    for (epoch, step) in [(3, 9), (4, 2)] {
        history.record_holds("g", epoch, [Order::Hold { step }, Order::Release { step: 20 }].iter());
        history.record("g", epoch, Timestamp::from_millis(1));
        assert_eq!((history.last_held_step("g", epoch), history.last_held_step("g", epoch + 1)), (step, 0));
    }
}
