//! Command-line options.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional};

/// The default timeout of a command. Operators escalate if a command takes longer.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// The parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Whether to print the result as JSON.
    pub json: bool,
    /// The command to run.
    pub command: Command,
}

/// The options for connecting to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// The settings file of the CLI.
    pub settings: Option<PathBuf>,
    /// The URL of the log, which takes precedence over the settings.
    pub log_url: Option<String>,
    /// The URL of the instance list, which takes precedence over the settings.
    pub list_url: Option<String>,
    /// The timeout of the command.
    pub timeout_ms: u64,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Validates settings or configuration documents.
    Check {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Publishes a configuration document.
    Publish {
        /// The options for connecting to the platform.
        connection: ConnectionOptions,
        /// The version that the change is based on, or `None` for the one in force.
        based_on: Option<u64>,
        /// The document.
        file: PathBuf,
    },
    /// Lists or switches presets.
    Preset(PresetCommand),
    /// Shows the version and the readiness of each instance.
    Status {
        /// The options for connecting to the platform.
        connection: ConnectionOptions,
    },
    /// Prints the state of one instance.
    Dump {
        /// The timeout of the command.
        timeout_ms: u64,
        /// The ops address of the instance.
        address: SocketAddr,
    },
    /// Replays a trace and compares the outcome with the recorded one.
    Replay {
        /// The trace.
        file: PathBuf,
    },
}

/// A subcommand of `preset`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PresetCommand {
    /// Lists the presets of the document in force.
    List {
        /// The options for connecting to the platform.
        connection: ConnectionOptions,
    },
    /// Puts a preset in force.
    Switch {
        /// The options for connecting to the platform.
        connection: ConnectionOptions,
        /// The name of the preset.
        name: String,
    },
}

/// Returns the parser of the command line.
pub fn option_parser() -> OptionParser<Options> {
    let (check, publish, preset) = (check(), publish(), preset());
    let (status, dump, replay) = (status(), dump(), replay());
    construct!([check, publish, preset, status, dump, replay])
        .to_options()
        .descr("Operates fuchsiabay: switches presets and publishes configuration")
        .footer(
            "Exit codes: 0 success; 2 invalid or refused; 3 another change was accepted first; 4 the platform or an \
             instance did not respond, or the version is not in force everywhere.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .fallback_to_usage()
}

fn check() -> impl Parser<Options> {
    let json = json();
    let files = file("Settings or configuration documents").some("at least one file is required");
    construct!(json, files)
        .map(|(json, files)| Options { json, command: Command::Check { files } })
        .to_options()
        .descr("Validates settings of daemons, settings of this command and configuration documents")
        .command("check")
}

fn publish() -> impl Parser<Options> {
    let json = json();
    let connection = connection();
    let based_on = long("based-on")
        .help("Refuse unless this version is in force; without it, the document replaces the one in force")
        .argument("VERSION")
        .optional();
    let file = file("The configuration document");
    construct!(json, connection, based_on, file)
        .map(|(json, connection, based_on, file)| Options {
            json,
            command: Command::Publish { connection, based_on, file },
        })
        .to_options()
        .descr("Publishes a configuration document and waits until it is accepted")
        .command("publish")
}

fn preset() -> impl Parser<Options> {
    let (list, switch) = (preset_list(), preset_switch());
    construct!([list, switch])
        .to_options()
        .descr("Lists or switches presets")
        .fallback_to_usage()
        .command("preset")
}

fn preset_list() -> impl Parser<Options> {
    let json = json();
    let connection = connection();
    construct!(json, connection)
        .map(|(json, connection)| Options {
            json,
            command: Command::Preset(PresetCommand::List { connection }),
        })
        .to_options()
        .descr("Lists the presets and marks the one in force")
        .command("list")
}

fn preset_switch() -> impl Parser<Options> {
    let json = json();
    let connection = connection();
    let name = positional("NAME").help("The preset");
    construct!(json, connection, name)
        .map(|(json, connection, name)| Options {
            json,
            command: Command::Preset(PresetCommand::Switch { connection, name }),
        })
        .to_options()
        .descr("Puts a preset in force and waits until it is accepted")
        .command("switch")
}

fn status() -> impl Parser<Options> {
    let json = json();
    let connection = connection();
    construct!(json, connection)
        .map(|(json, connection)| Options { json, command: Command::Status { connection } })
        .to_options()
        .descr("Shows each instance and whether the version in force has reached all of them")
        .command("status")
}

fn dump() -> impl Parser<Options> {
    let json = json();
    let timeout_ms = timeout_ms();
    let address = positional("ADDRESS").help("The ops address of the instance, such as 10.0.0.1:7101");
    construct!(json, timeout_ms, address)
        .map(|(json, timeout_ms, address)| Options { json, command: Command::Dump { timeout_ms, address } })
        .to_options()
        .descr("Prints the full state of one instance")
        .command("dump")
}

fn replay() -> impl Parser<Options> {
    let json = json();
    let file = positional("FILE").help("The trace").complete_shell(ShellComp::File { mask: Some("*.json") });
    construct!(json, file)
        .map(|(json, file)| Options { json, command: Command::Replay { file } })
        .to_options()
        .descr("Replays a recorded trace and compares the outcome with the recorded one")
        .command("replay")
}

fn json() -> impl Parser<bool> {
    long("json").help("Print the result as one line of JSON").switch()
}

fn file(help: &'static str) -> impl Parser<PathBuf> {
    positional("FILE").help(help).complete_shell(ShellComp::File { mask: Some("*.jsonc") })
}

fn timeout_ms() -> impl Parser<u64> {
    long("timeout-ms")
        .help("The timeout of the command, in milliseconds")
        .argument("MS")
        .fallback(DEFAULT_TIMEOUT_MS)
        .display_fallback()
}

fn connection() -> impl Parser<ConnectionOptions> {
    let settings = long("settings")
        .env("FUCHSIABAY_SETTINGS")
        .help("The settings file of this command")
        .argument("FILE")
        .complete_shell(ShellComp::File { mask: Some("*.jsonc") })
        .optional();
    let log_url = long("log-url")
        .env("FUCHSIABAY_LOG_URL")
        .help("The URL of the log; takes precedence over the settings")
        .argument("URL")
        .optional();
    let list_url = long("list-url")
        .env("FUCHSIABAY_LIST_URL")
        .help("The URL of the instance list; takes precedence over the settings")
        .argument("URL")
        .optional();
    let timeout_ms = timeout_ms();
    construct!(ConnectionOptions { settings, log_url, list_url, timeout_ms })
}
