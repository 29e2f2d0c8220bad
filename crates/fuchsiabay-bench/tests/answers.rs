//! Answers are recognised as whole, as a part, or as another's.

use fuchsiabay_bench::{Answer, Comparison, TOKEN_LEN};

const TOKENS: u32 = 8;

fn check(name: &str, change: impl Fn(&str) -> String, expected: Comparison) {
    let answer = Answer::to("Summarise [ask:lot 7] please");
    let text = change(&answer.text(TOKENS));
    assert_eq!(answer.compare(&text, TOKENS), expected, "{name}");
}

macro_rules! cases {
    ($($name:ident: $change:expr => $expected:ident;)+) => {
        $(#[test] fn $name() { check(stringify!($name), $change, Comparison::$expected); })+
    };
}

// A comparison that misses one of these would let a truncated or mixed-up answer pass in every measurement.
cases! {
    whole: |text| text.to_owned() => Whole;
    cut_short: |text| text[..3 * TOKEN_LEN].to_owned() => Part;
    empty: |_| String::new() => Part;
    skipped_token: |text| format!("{}{}", &text[..TOKEN_LEN], &text[2 * TOKEN_LEN..]) => Other;
    repeated_token: |text| format!("{}{}", &text[..2 * TOKEN_LEN], &text[TOKEN_LEN..]) => Other;
    of_another_prompt: |_| Answer::to("Summarise [ask:lot 8] please").text(TOKENS) => Other;
}

// An entry may lay out the messages of a chat as it likes; the answer must stay the same.
#[test]
fn only_the_marked_part_counts() {
    let marked = Answer::mark("lot 7");
    assert_eq!(Answer::to(&format!("user: {marked}\n")), Answer::to(&format!("<user>{marked}</user>")));
}
