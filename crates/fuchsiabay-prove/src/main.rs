//! Starts `fuchsiabay-prove`.

fn main() -> std::process::ExitCode {
    fuchsiabay_prove::options().run().execute()
}
