//! Settings of the log.

use serde::Deserialize;

/// The least severe records that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// Changes of state too.
    #[default]
    Info,
    /// Single requests too.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Returns the filter of the `log` crate.
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

/// How records are written.
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

/// What the process logs to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// The least severe records that are written.
    pub level: LogLevel,
    /// How they are written.
    pub format: LogFormat,
}
