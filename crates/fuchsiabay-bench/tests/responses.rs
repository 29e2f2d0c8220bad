//! Classification of received texts as complete, truncated or wrong.

use fuchsiabay_bench::{TOKEN_LEN, TextMatch, TokenSequence};

const TOKENS: u32 = 8;

fn check(name: &str, transform: impl Fn(&str) -> String, expected: TextMatch) {
    let expected_tokens = TokenSequence::for_prompt("Summarise [ask:lot 7] please");
    let text = transform(&expected_tokens.text(TOKENS));
    assert_eq!(expected_tokens.compare(&text, TOKENS), expected, "{name}");
}

macro_rules! cases {
    ($($name:ident: $transform:expr => $expected:ident;)+) => {
        $(#[test] fn $name() { check(stringify!($name), $transform, TextMatch::$expected); })+
    };
}

// A misclassified text would let a truncated response, or one of another request, go unnoticed in every measurement.
cases! {
    complete: |text| text.to_owned() => Complete;
    truncated: |text| text[..3 * TOKEN_LEN].to_owned() => Prefix;
    empty: |_| String::new() => Prefix;
    skipped_token: |text| format!("{}{}", &text[..TOKEN_LEN], &text[2 * TOKEN_LEN..]) => Mismatch;
    repeated_token: |text| format!("{}{}", &text[..2 * TOKEN_LEN], &text[TOKEN_LEN..]) => Mismatch;
    of_another_prompt: |_| TokenSequence::for_prompt("Summarise [ask:lot 8] please").text(TOKENS) => Mismatch;
}

// An entry instance may format the messages of a chat in its own way, which must not change the tokens.
#[test]
fn only_the_marked_part_determines_the_tokens() {
    let marked = TokenSequence::mark_subject("lot 7");
    assert_eq!(
        TokenSequence::for_prompt(&format!("user: {marked}\n")),
        TokenSequence::for_prompt(&format!("<user>{marked}</user>"))
    );
}
