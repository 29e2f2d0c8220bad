//! Settings of the daemons, in JSON with comments.
//!
//! This crate must not depend on sockets or decision logic. Every diagnostic names the file, the line, the field and
//! the allowed values, so that operators can correct the settings from the message alone.

mod agent;
mod backend;
mod claims;
mod cli;
mod diagnostic;
mod entry;
mod http_limits;
mod key_text;
mod logging;
mod problems;
mod reader;

pub use agent::AgentSettings;
pub use backend::{BackendKind, BackendSettings, GroupSettings};
pub use claims::ClaimSettings;
pub use cli::CliSettings;
pub use diagnostic::{Diagnostic, LoadError};
pub use entry::EntrySettings;
pub use http_limits::HttpLimits;
pub use logging::{LogFormat, LogLevel, LoggingSettings};
pub use reader::{load, parse};
