//! The command line that the daemons share.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct};

/// What a daemon is told on its command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonOptions {
    /// Checks the settings and ends.
    pub check: bool,
    /// The settings file.
    pub settings: PathBuf,
}

impl DaemonOptions {
    /// The exit code for settings that are not valid.
    pub const EXIT_INVALID_SETTINGS: u8 = 2;

    /// Returns the parser of a daemon with the given description.
    pub fn parser(description: &'static str, version: &'static str) -> OptionParser<Self> {
        let check = bpaf::long("check").help("Checks the settings and exits with 0 or 2").switch();
        let settings =
            bpaf::positional::<PathBuf>("SETTINGS").help("The settings file, in JSON with comments");
        construct!(Self { check, settings }).to_options().descr(description).version(version)
    }
}
