//! The operator CLI: validates and publishes configuration, switches presets and shows the state of instances.
//!
//! This crate must not depend on the daemons. It reads and appends to the log stream `config` and queries the daemons'
//! ops HTTP servers.

mod check;
mod config_log;
mod config_view;
mod dump;
mod exit;
mod options;
mod platform_config_log;
mod preset;
mod proposal;
mod publish;
mod replay;
mod report;
mod run;
mod status;
#[cfg(test)]
mod tests;

pub use exit::Exit;
pub use options::{Command, ConnectionOptions, Options, PresetCommand, option_parser};
pub use report::Report;
pub use run::run;
