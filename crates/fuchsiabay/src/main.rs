//! Starts `fuchsiabay`.

use std::process::ExitCode;

use bpaf::Args;
use fuchsiabay::{Exit, options, run};

/// Columns of the help, which most terminals have.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            // The parser's own code for faulty arguments is 1, which scripts take for a crash.
            return if failure.exit_code() == 0 { Exit::Done.into() } else { Exit::Invalid.into() };
        }
    };
    let json = options.json;
    let report = smol::block_on(run(options));
    report.print(json);
    report.exit.into()
}
