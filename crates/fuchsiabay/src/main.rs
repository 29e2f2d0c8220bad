//! The entry point of `fuchsiabay`.

use std::process::ExitCode;

use bpaf::Args;
use fuchsiabay::{Exit, option_parser, run};

/// The width of the help text, which fits into most terminals.
const HELP_WIDTH_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let options = match option_parser().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            // The parser's exit code for invalid arguments is 1, which scripts would take for a crash.
            return if failure.exit_code() == 0 { Exit::Done.into() } else { Exit::Invalid.into() };
        }
    };
    let json = options.json;
    let report = smol::block_on(run(options));
    report.print(json);
    report.exit.into()
}
