//! The command line that the daemons share.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct};

/// The command-line options of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonOptions {
    /// Whether to check the settings and exit.
    pub check: bool,
    /// The path of the settings file.
    pub settings: PathBuf,
}

impl DaemonOptions {
    /// The exit code for invalid settings.
    pub const EXIT_INVALID_SETTINGS: u8 = 2;

    /// Returns the command-line parser of a daemon with the given description.
    pub fn parser(description: &'static str, version: &'static str) -> OptionParser<Self> {
        let check = bpaf::long("check").help("Checks the settings and exits with 0 or 2").switch();
        let settings =
            bpaf::positional::<PathBuf>("SETTINGS").help("The settings file, in JSON with comments");
        construct!(Self { check, settings }).to_options().descr(description).version(version)
    }
}
