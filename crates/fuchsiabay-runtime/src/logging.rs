//! Set-up of the log.

use log::LevelFilter;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

/// One line of text a record. Each message starts with the fixed prefix of its part, for example `entry:`.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

const STDERR: &str = "stderr";

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

/// Sends records from `level` up to standard error, as lines of text or as JSON lines.
pub fn init(level: LevelFilter, json: bool) -> Result<(), AlreadySetUp> {
    log4rs::init_config(config(level, json)).map(drop).map_err(|_| AlreadySetUp)
}

fn config(level: LevelFilter, json: bool) -> Config {
    let encoder: Box<dyn Encode> =
        if json { Box::new(JsonEncoder::new()) } else { Box::new(PatternEncoder::new(TEXT_PATTERN)) };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let quiet = level.min(LevelFilter::Warn);
    Config::builder()
        .appender(Appender::builder().build(STDERR, Box::new(appender)))
        .loggers(CHATTY_LIBRARIES.iter().map(|library| Logger::builder().build(*library, quiet)))
        .build(Root::builder().appender(STDERR).build(level))
        .expect("the names of the loggers and of the appender are constants and fit")
}
