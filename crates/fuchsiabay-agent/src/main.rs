//! Entry point of the `fuchsiabay-agent` daemon.

use std::process::ExitCode;

use fuchsiabay_runtime::{DaemonOptions, logging};
use fuchsiabay_settings::{AgentSettings, LogFormat};

fn main() -> ExitCode {
    let options =
        DaemonOptions::parser("Runs the fuchsiabay agent beside a backend server", env!("CARGO_PKG_VERSION"))
            .run();
    let settings = match AgentSettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(DaemonOptions::EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::init(settings.log.level.filter(), settings.log.format == LogFormat::Json) {
        eprintln!("fuchsiabay-agent: {error}");
        return ExitCode::FAILURE;
    }
    let threads = settings.threads as usize;
    let executor = async_global_executor::GlobalExecutorConfig::default().with_min_threads(threads);
    async_global_executor::init_with_config(executor.with_max_threads(threads));
    if let Err(error) = async_global_executor::block_on(fuchsiabay_agent::run(settings)) {
        eprintln!("fuchsiabay-agent: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
