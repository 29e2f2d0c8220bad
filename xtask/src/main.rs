//! Chores of the project: `cargo xtask ci` runs every check.

mod ci;
mod steps;
mod style;

use bpaf::{OptionParser, Parser, construct};

#[derive(Clone, Debug)]
enum Task {
    Ci,
}

fn options() -> OptionParser<Task> {
    let ci = bpaf::pure(Task::Ci)
        .to_options()
        .descr("Formats, lints, documents and tests the workspace")
        .command("ci");
    construct!([ci]).to_options().descr("Chores of the fuchsiabay project")
}

fn main() -> std::process::ExitCode {
    let result = match options().run() {
        Task::Ci => ci::run(),
    };
    let Err(error) = result else {
        return std::process::ExitCode::SUCCESS;
    };
    eprintln!("xtask: {error}");
    std::process::ExitCode::FAILURE
}
