//! The command line of the program that runs a gateway or an agent.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct};

/// The kind of process to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An entry instance.
    Entry,
    /// An agent beside an engine.
    Agent,
}

/// What the program is asked to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run a process.
    Run(RunOptions),
    /// Check a configuration before it is published.
    CheckConfig {
        /// The configuration in force.
        in_force: Option<PathBuf>,
        /// Whether the report is printed as JSON.
        json: bool,
        /// The configuration to check.
        file: PathBuf,
    },
}

/// How to run a process.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Whether only the settings are checked.
    pub check: bool,
    /// Whether debug messages are logged, too.
    pub verbose: bool,
    /// The settings file.
    pub settings: PathBuf,
    /// The kind of process.
    pub role: Role,
}

impl Command {
    /// Parses the arguments of this process. Prints a message and exits if they are invalid.
    pub fn parse() -> Self {
        options().run()
    }
}

fn options() -> OptionParser<Command> {
    let check = bpaf::long("check").help("Checks the settings and exits with 0 or 2").switch();
    let verbose = bpaf::long("verbose").help("Also logs debug messages").switch();
    let settings = bpaf::long("settings")
        .env("FUCHSIABAY_SETTINGS")
        .help("The settings file, in JSON with comments")
        .argument::<PathBuf>("FILE");
    let entry = bpaf::pure(Role::Entry)
        .to_options()
        .descr("Runs an entry instance that sends requests directly to backend servers")
        .command("entry");
    let agent = bpaf::pure(Role::Agent)
        .to_options()
        .descr("Runs the agent beside an engine, which forwards queries and orders to it")
        .command("agent");
    let role = construct!([entry, agent]);
    let run = construct!(RunOptions { check, verbose, settings, role }).map(Command::Run);
    let in_force = bpaf::long("in-force").help("The configuration in force").argument("FILE").optional();
    let json = bpaf::long("json").help("Prints the report as JSON").switch();
    let file = bpaf::positional("FILE").help("The configuration to check");
    let check_config = construct!(Command::CheckConfig { in_force, json, file })
        .to_options()
        .descr("Checks a configuration before it is published; exits with 0, 1 (unreadable) or 2 (errors)")
        .command("check-config");
    construct!([check_config, run])
        .to_options()
        .descr("Runs a process of fuchsiabay on the users' platform")
        .version(env!("CARGO_PKG_VERSION"))
}
