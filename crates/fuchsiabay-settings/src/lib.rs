//! Settings of the daemons, in JSON with comments.
//!
//! This crate must not know sockets or decisions. Every fault names the file, the line, the field and what is
//! allowed, because the desk corrects settings from the message alone.

mod agent;
mod backend;
mod claims;
mod command;
mod entry;
mod fault;
mod key_text;
mod limits;
mod log_settings;
mod problems;
mod reader;

pub use agent::AgentSettings;
pub use backend::{BackendKind, BackendSettings, GroupSettings};
pub use claims::ClaimSettings;
pub use command::CommandSettings;
pub use entry::EntrySettings;
pub use fault::{Fault, LoadError};
pub use limits::Limits;
pub use log_settings::{LogFormat, LogLevel, LogSettings};
pub use reader::{load, parse};
