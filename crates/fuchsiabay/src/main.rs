//! Starts `fuchsiabay`.

use std::process::ExitCode;

use bpaf::Args;
use fuchsiabay::{Exit, options, run};

fn main() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        // `exit_code` prints the help, the completions or the fault of the arguments.
        Err(failure) => match failure.exit_code() {
            0 => return Exit::Done.into(),
            _ => return Exit::Invalid.into(),
        },
    };
    let json = options.json;
    let report = smol::block_on(run(options));
    report.print(json);
    report.exit.into()
}
