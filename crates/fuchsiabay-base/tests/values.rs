//! Values that cross process boundaries keep their meaning.

use fuchsiabay_base::{Fingerprint, IdempotencyKey, Timestamp};

fn check(text: &str, expected: Option<u64>) {
    let issued = text.parse::<IdempotencyKey>().ok().map(|key| key.issued_at().as_millis());
    assert_eq!(issued, expected, "{text}");
}

macro_rules! cases {
    ($($name:ident: $text:expr => $expected:expr;)+) => { $(#[test] fn $name() { check($text, $expected); })+ };
}

// A key without an issue time would make its age unknown, and an old call could run again.
cases! {
    version_7_carries_its_time: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" => Some(1_645_557_742_000);
    version_4_is_refused: "9b2d7a52-1c7f-4b57-8c1b-0f6c2a1d9a11" => None;
    text_is_refused: "release-42" => None;
    empty_is_refused: "" => None;
}

#[test]
fn key_round_trips() {
    let key = IdempotencyKey::from_parts(Timestamp::from_millis(1_700_000_000_123), 99);
    assert_eq!(key.issued_at().as_millis(), 1_700_000_000_123);
    assert_eq!(key.to_string().parse(), Ok(key));
}

// Without hashed lengths, a byte moved from one part to the next would keep the fingerprint.
#[test]
fn fingerprint_separates_parts() {
    assert_ne!(Fingerprint::of(&[b"ab", b"c"]), Fingerprint::of(&[b"a", b"bc"]));
}
