//! The operator's command: checks and publishes configuration, switches presets and shows the state.
//!
//! This crate must not know the daemons. It reads and writes the log stream `config` and asks the daemons over
//! their operators' HTTP.

mod check;
mod config_log;
mod config_view;
mod dump;
mod exit;
mod log_stream;
mod options;
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
pub use options::{Command, Connection, Options, PresetCommand, options};
pub use report::Report;
pub use run::run;
