//! The `fuchsiabay-prove` binary.

fn main() -> std::process::ExitCode {
    fuchsiabay_prove::options().run().execute()
}
