//! Answers are recognised as whole, as a part, or as another's.

use fuchsiabay_bench::{TOKEN_LEN, TextMatch, TokenSequence};

const TOKENS: u32 = 8;

fn check(name: &str, change: impl Fn(&str) -> String, expected: TextMatch) {
    let answer = TokenSequence::for_prompt("Summarise [ask:lot 7] please");
    let text = change(&answer.text(TOKENS));
    assert_eq!(answer.compare(&text, TOKENS), expected, "{name}");
}

macro_rules! cases {
    ($($name:ident: $change:expr => $expected:ident;)+) => {
        $(#[test] fn $name() { check(stringify!($name), $change, TextMatch::$expected); })+
    };
}

// A comparison that misses one of these would let a truncated or mixed-up answer pass in every measurement.
cases! {
    whole: |text| text.to_owned() => Complete;
    cut_short: |text| text[..3 * TOKEN_LEN].to_owned() => Prefix;
    empty: |_| String::new() => Prefix;
    skipped_token: |text| format!("{}{}", &text[..TOKEN_LEN], &text[2 * TOKEN_LEN..]) => Mismatch;
    repeated_token: |text| format!("{}{}", &text[..2 * TOKEN_LEN], &text[TOKEN_LEN..]) => Mismatch;
    of_another_prompt: |_| TokenSequence::for_prompt("Summarise [ask:lot 8] please").text(TOKENS) => Mismatch;
}

// An entry may lay out the messages of a chat as it likes; the answer must stay the same.
#[test]
fn only_the_marked_part_counts() {
    let marked = TokenSequence::mark_subject("lot 7");
    assert_eq!(
        TokenSequence::for_prompt(&format!("user: {marked}\n")),
        TokenSequence::for_prompt(&format!("<user>{marked}</user>"))
    );
}
