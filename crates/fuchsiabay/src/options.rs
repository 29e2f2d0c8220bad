//! Arguments of the command.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional};

/// The time that a command takes at most unless stated otherwise. A desk that waits longer calls somebody.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// The command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Whether the result is printed as JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// Where the platform is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connection {
    /// The settings of the command.
    pub settings: Option<PathBuf>,
    /// The address of the log, which takes precedence over the settings.
    pub log_url: Option<String>,
    /// The address of the instance list, which takes precedence over the settings.
    pub list_url: Option<String>,
    /// The time that the command takes at most.
    pub timeout_ms: u64,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Checks settings or configuration documents.
    Check {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Publishes a configuration document.
    Publish {
        /// Where the platform is.
        connection: Connection,
        /// The version that the author saw, or none for the one in force.
        based_on: Option<u64>,
        /// The document.
        file: PathBuf,
    },
    /// Lists or switches presets.
    Preset(PresetCommand),
    /// Shows which version is in force where.
    Status {
        /// Where the platform is.
        connection: Connection,
    },
    /// Prints the state of one instance.
    Dump {
        /// The time that the command takes at most.
        timeout_ms: u64,
        /// The operators' address of the instance.
        address: SocketAddr,
    },
    /// Replays a trace against the outcome that it states.
    Replay {
        /// The trace.
        file: PathBuf,
    },
}

/// What to do with presets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PresetCommand {
    /// Lists the presets of the document in force.
    List {
        /// Where the platform is.
        connection: Connection,
    },
    /// Puts a preset in force.
    Switch {
        /// Where the platform is.
        connection: Connection,
        /// The name of the preset.
        name: String,
    },
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Options> {
    let (check, publish, preset) = (check(), publish(), preset());
    let (status, dump, replay) = (status(), dump(), replay());
    construct!([check, publish, preset, status, dump, replay])
        .to_options()
        .descr("Operates fuchsiabay: switches presets and publishes configuration")
        .footer(
            "Exit codes: 0 done; 2 not valid or refused; 3 another change was accepted first; 4 the platform or an \
             instance did not answer, or the version is not in force everywhere.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .fallback_to_usage()
}

fn check() -> impl Parser<Options> {
    let json = json();
    let files = file("Settings or configuration documents").some("name at least one file");
    construct!(json, files)
        .map(|(json, files)| Options { json, command: Command::Check { files } })
        .to_options()
        .descr("Checks settings of daemons, settings of this command and configuration documents")
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
    let address = positional("ADDRESS").help("The operators' address of the instance, such as 10.0.0.1:7101");
    construct!(json, timeout_ms, address)
        .map(|(json, timeout_ms, address)| Options { json, command: Command::Dump { timeout_ms, address } })
        .to_options()
        .descr("Prints the whole state of one instance")
        .command("dump")
}

fn replay() -> impl Parser<Options> {
    let json = json();
    let file = positional("FILE").help("The trace").complete_shell(ShellComp::File { mask: Some("*.json") });
    construct!(json, file)
        .map(|(json, file)| Options { json, command: Command::Replay { file } })
        .to_options()
        .descr("Replays a recorded trace and compares the outcome with the one that it states")
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
        .help("The time that the command takes at most, in milliseconds")
        .argument("MS")
        .fallback(DEFAULT_TIMEOUT_MS)
        .display_fallback()
}

fn connection() -> impl Parser<Connection> {
    let settings = long("settings")
        .env("FUCHSIABAY_SETTINGS")
        .help("The settings of this command")
        .argument("FILE")
        .complete_shell(ShellComp::File { mask: Some("*.jsonc") })
        .optional();
    let log_url = long("log-url")
        .env("FUCHSIABAY_LOG_URL")
        .help("The address of the log; takes precedence over the settings")
        .argument("URL")
        .optional();
    let list_url = long("list-url")
        .env("FUCHSIABAY_LIST_URL")
        .help("The address of the instance list; takes precedence over the settings")
        .argument("URL")
        .optional();
    let timeout_ms = timeout_ms();
    construct!(Connection { settings, log_url, list_url, timeout_ms })
}
