//! Parsing, formatting and hashing of values that cross process boundaries.

use fuchsiabay_base::{Fingerprint, IdempotencyKey, Timestamp};

fn check(text: &str, expected: Option<u64>) {
    let issued = text.parse::<IdempotencyKey>().ok().map(|key| key.issued_at().as_millis());
    assert_eq!(issued, expected, "{text}");
}

macro_rules! cases {
    ($($name:ident: $text:expr => $expected:expr;)+) => { $(#[test] fn $name() { check($text, $expected); })+ };
}

// Guards against keys without an issue time: their age is unknown, so an old call could run again.
cases! {
    version_7_contains_its_issue_time: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" => Some(1_645_557_742_000);
    version_4_is_refused: "9b2d7a52-1c7f-4b57-8c1b-0f6c2a1d9a11" => None;
    non_uuid_is_refused: "release-42" => None;
    empty_is_refused: "" => None;
}

#[test]
fn key_round_trips() {
    let key = IdempotencyKey::from_parts(Timestamp::from_millis(1_700_000_000_123), 99);
    assert_eq!(key.issued_at().as_millis(), 1_700_000_000_123);
    assert_eq!(key.to_string().parse(), Ok(key));
}

// Guards against a hash without the lengths: moving a byte from one part to the next would not change the fingerprint.
#[test]
fn fingerprint_separates_parts() {
    assert_ne!(Fingerprint::of(&[b"ab", b"c"]), Fingerprint::of(&[b"a", b"bc"]));
}
