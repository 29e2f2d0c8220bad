//! The tests that fail for a known fault. They are listed in `KNOWN-RED.txt` at the root.

use std::{fs, io};

use crate::steps::StepError;

/// The list, relative to the root of the workspace.
const PATH: &str = "KNOWN-RED.txt";

/// The prefix of a line that names a test by its full path within its binary.
const TEST_PREFIX: &str = "test: ";

/// Returns the names of the known failing tests, and prints the list.
pub(crate) fn read() -> Result<Vec<String>, StepError> {
    let list = match fs::read_to_string(PATH) {
        Ok(list) => list,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(StepError::Io(PATH.to_owned(), error)),
    };
    for line in list.lines() {
        eprintln!("xtask: known red: {line}");
    }
    let names = list.lines().filter_map(|line| line.strip_prefix(TEST_PREFIX));
    Ok(names.map(|name| name.trim().to_owned()).collect())
}

/// Returns the arguments that make the test runner pass over exactly the tests `names`.
pub(crate) fn skip_args(names: &[String]) -> Vec<&str> {
    if names.is_empty() {
        return Vec::new();
    }
    let skips = names.iter().flat_map(|name| ["--skip", name]);
    ["--", "--exact"].into_iter().chain(skips).collect()
}
