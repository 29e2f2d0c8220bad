//! Fakes of the platform services and a load generator, for tests and measurements only.

fn main() -> std::process::ExitCode {
    fuchsiabay_bench::run()
}
