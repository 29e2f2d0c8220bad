//! The rules of the house style that rustfmt and Clippy cannot check.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

/// The derives of the standard library. They go into an attribute of their own.
const STANDARD_DERIVES: [&str; 9] =
    ["Clone", "Copy", "Debug", "Default", "PartialEq", "Eq", "PartialOrd", "Ord", "Hash"];

/// Text that occurs only in licence texts and file banners.
const BANNER_WORDS: [&str; 3] = ["Copyright", "SPDX-License", "All rights reserved"];

/// A violation of the house style.
#[derive(Debug)]
pub(crate) struct StyleViolation {
    path: PathBuf,
    line: usize,
    rule: &'static str,
}

impl fmt::Display for StyleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.rule)
    }
}

/// The maximum length of a source file, in lines.
const MAX_FILE_LINES: usize = 500;

/// The maximum length of the platform adapter without its tests, in lines.
const MAX_PLATFORM_LINES: usize = 1_500;

/// The folder of the platform adapter, the only code that may use the platform's names.
const PLATFORM_DIR: &str = "platform";

/// The folders of the programs on the users' platform. Their leases, deadlines and freshness must not depend on the time of
/// day, which jumps on some instances.
const MONOTONIC_DIRS: [&str; 4] =
    ["crates/fuchsiabay-balancer", "crates/fuchsiabay-gateway", "crates/fuchsiabay-lockstep", PLATFORM_DIR];

/// Uses of clocks that show the time of day.
const WALL_CLOCK_USES: [&str; 2] = ["unix_now()", "SystemTime"];

/// The only field that may be set from the time of day. Neighbours do not compare generations.
const GENERATION_FIELD: &str = "generation:";

/// Names that belong to the users' platform.
const PLATFORM_NAMES: [&str; 15] = [
    "Expect-Instance",
    "Server-Stamp",
    "Not-Executed",
    "\"Deadline-Ms\"",
    "Token-Count",
    "Length-Hint",
    "Server-Load",
    "Server-Limit",
    "Prompt-Prefix",
    "At-Server",
    "/fuchsiabay/",
    "log-append",
    "keyed.op",
    "keyed.servers",
    "fleetbench",
];

/// Checks every source file below `crates`, `platform` and `xtask`.
pub(crate) fn violations() -> io::Result<Vec<StyleViolation>> {
    let mut violations = Vec::new();
    for root in ["crates", PLATFORM_DIR, "xtask"] {
        check_dir(Path::new(root), &mut violations)?;
    }
    let lines = count_lines(Path::new(PLATFORM_DIR).join("src").as_path())?;
    if lines > MAX_PLATFORM_LINES {
        violations.push(StyleViolation {
            path: PLATFORM_DIR.into(),
            line: lines,
            rule: "the platform adapter has more than 1,500 lines",
        });
    }
    Ok(violations)
}

/// This file, which lists the forbidden names.
const OWN_PATH: &str = "xtask/src/style.rs";

/// Checks every source file below `dir`, except this one.
fn check_dir(dir: &Path, violations: &mut Vec<StyleViolation>) -> io::Result<()> {
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            check_dir(&path, violations)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") && path != Path::new(OWN_PATH) {
            check_file(&path, violations)?;
        }
    }
    Ok(())
}

fn check_file(path: &Path, violations: &mut Vec<StyleViolation>) -> io::Result<()> {
    let text = fs::read_to_string(path)?;
    let allows_platform_names = path.starts_with(PLATFORM_DIR);
    let must_be_monotonic = MONOTONIC_DIRS.iter().any(|dir| path.starts_with(dir));
    for (i, line) in text.lines().enumerate() {
        let violation = |rule| StyleViolation { path: path.to_owned(), line: i + 1, rule };
        violations.extend(find_broken_rule(line).map(violation));
        if !allows_platform_names && PLATFORM_NAMES.iter().any(|name| line.contains(name)) {
            violations.push(violation("platform names are allowed only in the platform adapter"));
        }
        let uses_wall_clock = WALL_CLOCK_USES.iter().any(|name| line.contains(name));
        if must_be_monotonic && uses_wall_clock && !line.trim_start().starts_with(GENERATION_FIELD) {
            violations.push(violation("the programs on the platform must not use the time of day"));
        }
    }
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES {
        violations.push(StyleViolation {
            path: path.to_owned(),
            line: lines,
            rule: "the file has more than 500 lines",
        });
    }
    Ok(())
}

/// Returns the number of lines of all files in `dir`.
fn count_lines(dir: &Path) -> io::Result<usize> {
    let mut lines = 0;
    for entry in fs::read_dir(dir)? {
        lines += fs::read_to_string(entry?.path())?.lines().count();
    }
    Ok(lines)
}

/// Returns the first rule that a line breaks by itself.
fn find_broken_rule(line: &str) -> Option<&'static str> {
    if BANNER_WORDS.iter().any(|word| line.contains(word)) {
        return Some("source files must not contain a licence text or banner");
    }
    let derives = line.trim_start().strip_prefix("#[derive(")?.strip_suffix(")]")?;
    let standard = derives.split(',').filter(|derive| STANDARD_DERIVES.contains(&derive.trim())).count();
    let mixed = standard > 0 && standard < derives.split(',').count();
    mixed.then_some("standard derives and other derives must be in separate attributes")
}
