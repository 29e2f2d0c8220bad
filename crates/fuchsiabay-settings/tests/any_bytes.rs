//! Any bytes give settings or a clear error, and never a panic: a daemon must not crash on a broken file.

use fuchsiabay_settings::{AgentSettings, EntrySettings, LoadError};
use quickcheck::{Arbitrary, Gen};

const ENTRY: &[u8] = include_bytes!("../../../examples/dakar/entry.jsonc");
const AGENT: &[u8] = include_bytes!("../../../examples/dakar/agent-engine.jsonc");
const CASES: usize = 2_000;
const SIZE: usize = 64;

/// Replaces a stretch of `text` by arbitrary bytes.
fn damage(g: &mut Gen, text: &[u8]) -> Vec<u8> {
    let start = usize::arbitrary(g) % text.len();
    let end = (start + usize::arbitrary(g) % 8).min(text.len());
    let mut damaged = text.to_vec();
    damaged.splice(start..end, Vec::<u8>::arbitrary(g).into_iter().take(4));
    damaged
}

/// Replaces a value or a name by another token, which keeps the text closer to valid.
fn exchange(g: &mut Gen, text: &[u8]) -> Vec<u8> {
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
    let mut g = Gen::from_size_and_seed(SIZE, seed);
    for _ in 0..CASES {
        let text = generate(&mut g);
        let errors = [EntrySettings::parse("f", &text).err(), AgentSettings::parse("f", &text).err()];
        let lines = text.iter().filter(|byte| matches!(byte, b'\n' | b'\r')).count() + 1;
        for error in errors.iter().flatten() {
            let LoadError::Invalid(faults) = error else {
                panic!("{error}");
            };
            assert!(!faults.is_empty());
            for fault in faults {
                assert!((1..=lines).contains(&fault.line), "{fault} in a text of {lines} lines");
                assert!(!fault.message.is_empty());
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
    damaged_entry: 3, |g| damage(g, ENTRY);
    damaged_agent: 4, |g| damage(g, AGENT);
    exchanged_entry: 5, |g| exchange(g, ENTRY);
    exchanged_agent: 6, |g| exchange(g, AGENT);
    deep_nesting: 7, |g| "[{\"a\":".repeat(usize::arbitrary(g) % 2_000).into_bytes();
}
