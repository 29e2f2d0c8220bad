//! Starts `fuchsiabay-agent`.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser};
use fuchsiabay_runtime::logging;
use fuchsiabay_settings::{AgentSettings, LogFormat};

fn options() -> OptionParser<PathBuf> {
    bpaf::positional::<PathBuf>("SETTINGS")
        .help("The settings file, in JSON with comments")
        .to_options()
        .descr("The fuchsiabay agent beside a backend server")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let settings = match AgentSettings::load(options().run()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("fuchsiabay-agent: {error}");
            return ExitCode::FAILURE;
        }
    };
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
