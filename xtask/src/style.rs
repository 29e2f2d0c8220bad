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

/// The longest source file, in lines.
const MAX_FILE_LINES: usize = 500;

/// The most lines of the platform's adapter, without its tests.
const MAX_PLATFORM_LINES: usize = 1_500;

/// The folder of the platform's adapter, the only one that may know the platform's names.
const PLATFORM: &str = "platform";

/// Names of the users' platform.
const PLATFORM_NAMES: [&str; 13] = [
    "Expect-Instance",
    "Server-Stamp",
    "Not-Executed",
    "\"Deadline-Ms\"",
    "Token-Count",
    "Length-Hint",
    "Server-Load",
    "At-Server",
    "/fuchsiabay/",
    "log-append",
    "keyed.op",
    "keyed.servers",
    "fleetbench",
];

/// Checks every source file below `crates`, `platform` and `xtask`.
pub(crate) fn offences() -> io::Result<Vec<Offence>> {
    let mut offences = Vec::new();
    for root in ["crates", PLATFORM, "xtask"] {
        visit(Path::new(root), &mut offences)?;
    }
    let lines = count_lines(Path::new(PLATFORM).join("src").as_path())?;
    if lines > MAX_PLATFORM_LINES {
        offences.push(Offence {
            path: PLATFORM.into(),
            line: lines,
            rule: "the adapter has more than 1,500 lines",
        });
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
    let text = fs::read_to_string(path)?;
    let may_name_platform = path.starts_with(PLATFORM);
    for (i, line) in text.lines().enumerate() {
        let offend = |rule| Offence { path: path.to_owned(), line: i + 1, rule };
        offences.extend(broken_rule(line).map(offend));
        if !may_name_platform && PLATFORM_NAMES.iter().any(|name| line.contains(name)) {
            offences.push(offend("only the platform's adapter knows the platform's names"));
        }
    }
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES {
        offences.push(Offence { path: path.to_owned(), line: lines, rule: "a file has at most 500 lines" });
    }
    Ok(())
}

fn count_lines(dir: &Path) -> io::Result<usize> {
    let mut lines = 0;
    for entry in fs::read_dir(dir)? {
        lines += fs::read_to_string(entry?.path())?.lines().count();
    }
    Ok(lines)
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
