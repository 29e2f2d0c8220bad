//! The `fuchsiabay-entry` daemon.

use std::process::ExitCode;

use fuchsiabay_runtime::DaemonOptions;
use fuchsiabay_settings::EntrySettings;

fn main() -> ExitCode {
    let options =
        DaemonOptions::parser("Runs an entry instance of fuchsiabay", env!("CARGO_PKG_VERSION")).run();
    let settings = match EntrySettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(DaemonOptions::EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    if let Err(error) = fuchsiabay_entry::run(settings) {
        eprintln!("fuchsiabay-entry: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
