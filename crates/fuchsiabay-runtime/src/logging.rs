//! Set-up of the log.

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

/// One line of text a record. Each message starts with the fixed prefix of its part, for example `entry:`.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

const OUTPUT: &str = "output";

/// Libraries that log each connection at a level that operators use for the daemons themselves.
const CHATTY_LIBRARIES: &[&str] = &[
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

/// The logger of the process was set before.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the log is already set up")]
pub struct AlreadySetUp;

/// Why the log could not be set up.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum InitError {
    /// The logger of the process was set before.
    #[error(transparent)]
    AlreadySetUp(#[from] AlreadySetUp),
    /// The thread that writes the lines could not be started.
    #[error("cannot start the log writer: {0}")]
    Thread(#[from] std::io::Error),
}

/// Sends records from `level` up to standard error, as lines of text or as JSON lines.
pub fn init(level: LevelFilter, json: bool) -> Result<(), AlreadySetUp> {
    log4rs::init_config(config(level, json)).map(drop).map_err(|_| AlreadySetUp)
}

/// Sends records from `level` up to standard output, as JSON lines. Logging never blocks: lines that the output does not
/// take in time are dropped and counted.
pub fn init_stdout(level: LevelFilter) -> Result<(), InitError> {
    let appender = BoundedAppender::start(std::io::stdout())?;
    log4rs::init_config(config_of(level, Box::new(appender))).map(drop).map_err(|_| AlreadySetUp)?;
    Ok(())
}

fn config(level: LevelFilter, json: bool) -> Config {
    let encoder: Box<dyn Encode> =
        if json { Box::new(JsonEncoder::new()) } else { Box::new(PatternEncoder::new(TEXT_PATTERN)) };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    config_of(level, Box::new(appender))
}

fn config_of(level: LevelFilter, appender: Box<dyn Append>) -> Config {
    let quiet = level.min(LevelFilter::Warn);
    Config::builder()
        .appender(Appender::builder().build(OUTPUT, appender))
        .loggers(CHATTY_LIBRARIES.iter().map(|library| Logger::builder().build(*library, quiet)))
        .build(Root::builder().appender(OUTPUT).build(level))
        .expect("the names of the loggers and of the appender are constants and fit")
}
