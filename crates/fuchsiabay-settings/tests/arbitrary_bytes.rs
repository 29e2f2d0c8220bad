//! Property tests: arbitrary bytes give settings or diagnostics, never a panic, because a daemon must not crash on a
//! corrupt file.

use fuchsiabay_settings::{AgentSettings, EntrySettings, LoadError};
use quickcheck::{Arbitrary, Gen};

const ENTRY: &[u8] = include_bytes!("../../../examples/dakar/entry.jsonc");
const AGENT: &[u8] = include_bytes!("../../../examples/dakar/agent-engine.jsonc");
const CASES: usize = 2_000;
const GEN_SIZE: usize = 64;

/// Replaces a random range of `text` by arbitrary bytes.
fn corrupt(g: &mut Gen, text: &[u8]) -> Vec<u8> {
    let start = usize::arbitrary(g) % text.len();
    let end = (start + usize::arbitrary(g) % 8).min(text.len());
    let mut corrupted = text.to_vec();
    corrupted.splice(start..end, Vec::<u8>::arbitrary(g).into_iter().take(4));
    corrupted
}

/// Replaces a random word by another token, which keeps the text closer to valid syntax than random bytes.
fn replace_word(g: &mut Gen, text: &[u8]) -> Vec<u8> {
    const TOKENS: &[&str] = &[
        "null",
        "[]",
        "{}",
        "-1",
        "1e400",
        "0.5",
        "18446744073709551616",
        "\"\"",
        "\"\\u0000\"",
        "\"\\ud800\"",
        "[[{\"a\":[]}]]",
        "true",
        ",",
        "}",
    ];
    let text = String::from_utf8_lossy(text);
    let words: Vec<_> = text.split_inclusive(' ').collect();
    let at = usize::arbitrary(g) % words.len();
    let token = g.choose(TOKENS).unwrap();
    let words = words.iter().enumerate().map(|(i, word)| if i == at { token } else { word });
    words.copied().collect::<String>().into_bytes()
}

fn check(seed: u64, generate: impl Fn(&mut Gen) -> Vec<u8>) {
    let mut g = Gen::from_size_and_seed(GEN_SIZE, seed);
    for _ in 0..CASES {
        let text = generate(&mut g);
        let errors = [EntrySettings::parse("f", &text).err(), AgentSettings::parse("f", &text).err()];
        let lines = text.iter().filter(|byte| matches!(byte, b'\n' | b'\r')).count() + 1;
        for error in errors.iter().flatten() {
            let LoadError::Invalid(diagnostics) = error else {
                panic!("{error}");
            };
            assert!(!diagnostics.is_empty());
            for diagnostic in diagnostics {
                assert!((1..=lines).contains(&diagnostic.line), "{diagnostic} in a text of {lines} lines");
                assert!(!diagnostic.message.is_empty());
            }
        }
    }
}

macro_rules! cases {
    ($($name:ident: $seed:literal, $generate:expr;)*) => {
        $(#[test]
        fn $name() {
            check($seed, $generate);
        })*
    };
}

cases! {
    arbitrary_bytes: 1, Vec::<u8>::arbitrary;
    arbitrary_text: 2, |g| String::arbitrary(g).into_bytes();
    corrupted_entry: 3, |g| corrupt(g, ENTRY);
    corrupted_agent: 4, |g| corrupt(g, AGENT);
    entry_with_replaced_word: 5, |g| replace_word(g, ENTRY);
    agent_with_replaced_word: 6, |g| replace_word(g, AGENT);
    deep_nesting: 7, |g| "[{\"a\":".repeat(usize::arbitrary(g) % 2_000).into_bytes();
}
