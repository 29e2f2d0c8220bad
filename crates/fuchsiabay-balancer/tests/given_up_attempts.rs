//! Requests that are refused because servers ended after their attempts had been given up.

#[path = "support/ledger.rs"]
mod support;

use fuchsiabay_balancer::CrashLedger;
use fuchsiabay_base::Timestamp;
use support::{at, is_refused, server, suspects};

/// The number of servers of the service.
const SERVERS: usize = 3;

/// What is learned of a server after the attempt at it was given up. The numbers are milliseconds since then.
enum Event {
    /// Another request loses its connection.
    Loss(u64),
    Disappears(u64),
    Unreachable(u64),
    /// The same request is given up again.
    GivesUp(u64),
    /// The server answers a question asked at the first time.
    Lives(u64),
    /// The server answers a request sent at the first time on a connection that was opened as long before the attempt as the second
    /// one states, or after it if negative.
    Answers(u64, i64),
}

use Event::{Answers, Disappears, GivesUp, Lives, Loss, Unreachable};

/// Gives up an attempt at each of three servers after `silent_ms` without a sign of the server, and checks whether the request is
/// refused after the events.
fn check(silent_ms: u64, events: &[Event], refused: bool) {
    let request = suspects("", "bad");
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        let (begun_ms, given_up_ms) = (20_000 * n, 20_000 * n + silent_ms);
        let server = server(n);
        ledger.record_given_up(&server, &request, at(begun_ms), at(begun_ms), SERVERS, at(given_up_ms));
        for event in events {
            match *event {
                Loss(ms) => {
                    let other = suspects("", &format!("other{n}"));
                    ledger.record_loss(&server, &other, at(begun_ms), at(given_up_ms + ms));
                }
                Disappears(ms) => ledger.record_disappearance(&server, at(given_up_ms + ms)),
                GivesUp(ms) => {
                    let now = at(given_up_ms + ms);
                    ledger.record_given_up(&server, &request, now, now, SERVERS, now);
                }
                Answers(ms, before_ms) => {
                    let sent_at = at(given_up_ms + ms);
                    let opened_ms = at(begun_ms).as_millis().saturating_add_signed(-before_ms);
                    ledger.record_response(&server, Timestamp::from_millis(opened_ms), sent_at, sent_at);
                }
                Unreachable(ms) => ledger.record_unreachable(&server, at(given_up_ms + ms)),
                Lives(ms) => ledger.record_report(&server, at(given_up_ms + ms), at(given_up_ms + ms + 10)),
            }
        }
        ledger.advance(at(given_up_ms + 19_000));
    }
    assert_eq!(is_refused(&mut ledger, &request, 60_000), refused);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

cases! {
    /// Guards against a server that falls silent under a request whose caller leaves before the connection ends.
    attempt_at_a_silent_server_counts(2_000, &[], true);
    attempt_at_a_slow_server_does_not_count(2_000, &[Lives(100)], false);
    /// Guards against a caller that leaves just before its request crashes the server.
    attempt_given_up_just_before_a_loss_counts(50, &[Loss(100)], true);
    attempt_given_up_long_before_a_loss_does_not_count(50, &[Lives(2_000), Loss(3_000)], false);
    loss_that_is_refuted_does_not_count(50, &[Loss(100), Lives(400)], false);
    /// Guards against a server that ends behind a cut, so that only the directory shows it.
    attempt_before_its_server_disappears_counts(50, &[Disappears(4_000)], true);
    /// Guards against a deadline that passes after the directory has shown the end of the server.
    attempt_given_up_after_its_server_disappeared_counts(50, &[Lives(2_000), Disappears(4_000), GivesUp(4_500)], true);
    attempt_survived_before_its_server_disappears_does_not_count(50, &[Lives(2_000), Disappears(4_000)], false);
    attempt_survived_by_a_server_that_answers_later_does_not_count(50, &[Answers(2_000, 100), Disappears(4_000)], false);
    /// Guards against a response of the next process that clears what ended the former one.
    attempt_does_not_count_as_survived_by_the_next_process(50, &[Answers(2_000, -1_000), Disappears(4_000)], true);
    /// Guards against a server on which nothing else ran when it ended.
    attempt_before_its_server_is_unreachable_counts(50, &[Unreachable(500)], true);
    attempt_before_its_server_is_unreachable_for_a_moment_does_not_count(50, &[Unreachable(500), Lives(900)], false);
    attempt_that_was_only_given_up_does_not_count(50, &[], false);
}
