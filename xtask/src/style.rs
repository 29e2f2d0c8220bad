//! Rules of the house style that the formatter and the linter do not know.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

/// Derives of the standard library, which stand on a line of their own.
const STANDARD_DERIVES: [&str; 9] =
    ["Clone", "Copy", "Debug", "Default", "PartialEq", "Eq", "PartialOrd", "Ord", "Hash"];

/// Words that only a licence text or a file banner contains.
const BANNER_WORDS: [&str; 3] = ["Copyright", "SPDX-License", "All rights reserved"];

/// A line that breaks a rule.
#[derive(Debug)]
pub(crate) struct Offence {
    path: PathBuf,
    line: usize,
    rule: &'static str,
}

impl fmt::Display for Offence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.rule)
    }
}

/// Checks every source file below `crates` and `xtask`.
pub(crate) fn offences() -> io::Result<Vec<Offence>> {
    let mut offences = Vec::new();
    for root in ["crates", "xtask"] {
        visit(Path::new(root), &mut offences)?;
    }
    Ok(offences)
}

fn visit(dir: &Path, offences: &mut Vec<Offence>) -> io::Result<()> {
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            visit(&path, offences)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") && !path.ends_with("style.rs") {
            check_file(&path, offences)?;
        }
    }
    Ok(())
}

fn check_file(path: &Path, offences: &mut Vec<Offence>) -> io::Result<()> {
    for (i, line) in fs::read_to_string(path)?.lines().enumerate() {
        if let Some(rule) = broken_rule(line) {
            offences.push(Offence { path: path.to_owned(), line: i + 1, rule });
        }
    }
    Ok(())
}

fn broken_rule(line: &str) -> Option<&'static str> {
    if BANNER_WORDS.iter().any(|word| line.contains(word)) {
        return Some("source files carry no licence text or banner");
    }
    let derives = line.trim_start().strip_prefix("#[derive(")?.strip_suffix(")]")?;
    let standard = derives.split(',').filter(|derive| STANDARD_DERIVES.contains(&derive.trim())).count();
    let mixed = standard > 0 && standard < derives.split(',').count();
    mixed.then_some("standard and foreign derives stand on lines of their own")
}
