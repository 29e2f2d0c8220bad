//! Starts `fuchsiabay-entry`.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser};
use fuchsiabay_settings::EntrySettings;

fn options() -> OptionParser<PathBuf> {
    bpaf::long("settings")
        .help("The settings of this instance, JSON with comments")
        .argument::<PathBuf>("FILE")
        .to_options()
        .descr("Runs an entry instance of fuchsiabay")
}

fn main() -> ExitCode {
    let settings = match EntrySettings::load(options().run()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = fuchsiabay_entry::run(settings) {
        eprintln!("fuchsiabay-entry: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
