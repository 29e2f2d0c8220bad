//! Chores of the project: `cargo xtask ci` runs every check.

mod ci;
mod prove;
mod steps;
mod style;

use bpaf::{OptionParser, Parser, construct};

#[derive(Clone, Debug)]
enum Task {
    Ci,
    Prove(Vec<String>),
}

fn options() -> OptionParser<Task> {
    let ci = bpaf::pure(Task::Ci)
        .to_options()
        .descr("Formats, lints, documents and tests the workspace")
        .command("ci");
    let prove = bpaf::any("ARG", |arg: String| Some(arg))
        .many()
        .map(Task::Prove)
        .to_options()
        .descr("Runs the decision code on virtual time, without a mechanism on request")
        .command("prove");
    construct!([ci, prove]).to_options().descr("Chores of the fuchsiabay project")
}

fn main() -> std::process::ExitCode {
    let result = match options().run() {
        Task::Ci => ci::run(),
        Task::Prove(args) => prove::run(&args),
    };
    let Err(error) = result else {
        return std::process::ExitCode::SUCCESS;
    };
    eprintln!("xtask: {error}");
    std::process::ExitCode::FAILURE
}
