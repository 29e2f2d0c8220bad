//! Settings of the process's logging.

use serde::Deserialize;

/// The minimum severity of logged records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Warnings and errors.
    Warn,
    /// Also state changes.
    #[default]
    Info,
    /// Also individual requests.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Returns the equivalent level filter of the `log` crate.
    pub fn filter(self) -> log::LevelFilter {
        match self {
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
            Self::Trace => log::LevelFilter::Trace,
        }
    }
}

/// The output format of logged records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// Lines of JSON.
    Json,
}

/// The settings of the log that the process writes to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// The minimum severity of logged records.
    pub level: LogLevel,
    /// The output format.
    pub format: LogFormat,
}
