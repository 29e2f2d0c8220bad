//! Initialization of the process's logging.

use log::LevelFilter;
use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
    },
    config::{Appender, Config, Logger, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::bounded_appender::BoundedAppender;

/// Formats each record as one line of text. Every message starts with the prefix of its component, such as `entry:`.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

const APPENDER_NAME: &str = "output";

/// Libraries that log every connection at levels which operators enable for the daemons. They are limited to warnings.
const VERBOSE_LIBRARIES: &[&str] = &[
    "async_io",
    "jsonrpsee",
    "jsonrpsee_core",
    "jsonrpsee_server",
    "polling",
    "trillium",
    "trillium_client",
    "trillium_http",
    "trillium_server_common",
    "trillium_smol",
];

/// The process already has a logger.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("logging is already initialized")]
pub struct AlreadyInitialized;

/// The reason why logging could not be initialized.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum InitError {
    /// The process already has a logger.
    #[error(transparent)]
    AlreadyInitialized(#[from] AlreadyInitialized),
    /// The writer thread could not be started.
    #[error("cannot start the log writer thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Logs records of at least `level` to standard error, as lines of text or as JSON lines.
pub fn init(level: LevelFilter, json: bool) -> Result<(), AlreadyInitialized> {
    log4rs::init_config(config(level, json)).map(drop).map_err(|_| AlreadyInitialized)
}

/// Logs records of at least `level` to standard output, as JSON lines. Logging never blocks: lines that exceed the
/// queue of a slow output are dropped and counted.
pub fn init_stdout(level: LevelFilter) -> Result<(), InitError> {
    let appender = BoundedAppender::start(std::io::stdout())?;
    log4rs::init_config(config_with_appender(level, Box::new(appender)))
        .map(drop)
        .map_err(|_| AlreadyInitialized)?;
    Ok(())
}

fn config(level: LevelFilter, json: bool) -> Config {
    let encoder: Box<dyn Encode> =
        if json { Box::new(JsonEncoder::new()) } else { Box::new(PatternEncoder::new(TEXT_PATTERN)) };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    config_with_appender(level, Box::new(appender))
}

fn config_with_appender(level: LevelFilter, appender: Box<dyn Append>) -> Config {
    let library_level = level.min(LevelFilter::Warn);
    Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, appender))
        .loggers(VERBOSE_LIBRARIES.iter().map(|library| Logger::builder().build(*library, library_level)))
        .build(Root::builder().appender(APPENDER_NAME).build(level))
        .expect("the logger and appender names are valid constants")
}
