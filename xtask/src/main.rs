//! Development tasks of the project. `cargo xtask ci` runs every check.

mod bench;
mod byte_meter;
mod ci;
mod cluster;
mod demo;
mod known_red;
mod process;
mod prove;
mod steps;
mod style;
mod usage;

use bpaf::{OptionParser, Parser, construct};

#[derive(Clone, Debug)]
enum Task {
    Ci,
    Bench { subject: bench::Subject, seed: u64, json: bool },
    Demo(demo::Fault, u64),
    Prove(Vec<String>),
}

fn options() -> OptionParser<Task> {
    let ci = bpaf::pure(Task::Ci)
        .to_options()
        .descr("Checks the format, lints, documentation and tests of the workspace")
        .command("ci");
    let fault = bpaf::long("fault")
        .help("Inject only this fault: kill, freeze, log-outage or map-switch")
        .argument("FAULT")
        .fallback(demo::Fault::Mixed);
    let demo = construct!(Task::Demo(fault, seed()))
        .to_options()
        .descr("Runs a cluster on loopback under load, injects faults and checks every promise")
        .command("demo");
    let prove = bpaf::any("ARG", |arg: String| Some(arg))
        .many()
        .map(Task::Prove)
        .to_options()
        .descr("Tests the decision code with randomised runs on virtual time; can disable a mechanism")
        .command("prove");
    construct!([ci, demo, bench(), prove]).to_options().descr("Development tasks of the fuchsiabay project")
}

fn bench() -> impl Parser<Task> {
    let path = bpaf::long("path")
        .help("Measure the request path of the real programs instead of the policies on virtual time")
        .req_flag(bench::Subject::Path);
    let capacity = bpaf::long("capacity")
        .help("Measure the memory and processor time of the state of each role, and the size of messages")
        .req_flag(bench::Subject::Capacity);
    let subject = construct!([path, capacity]).fallback(bench::Subject::Policy);
    let json = bpaf::long("json").help("Print the figures as one line of JSON").switch();
    let seed = seed();
    construct!(Task::Bench { subject, seed, json })
        .to_options()
        .descr("Benchmarks the policies, the request path, or the state and messages of each role")
        .command("bench")
}

fn seed() -> impl Parser<u64> {
    bpaf::long("seed").help("Seed of the generated load").argument("N").fallback(1).display_fallback()
}

fn main() -> std::process::ExitCode {
    let result = match options().run() {
        Task::Ci => ci::run(),
        Task::Bench { subject, seed, json } => bench::run(subject, seed, json),
        Task::Demo(fault, seed) => demo::run(fault, seed),
        Task::Prove(args) => prove::run(&args),
    };
    let Err(error) = result else {
        return std::process::ExitCode::SUCCESS;
    };
    eprintln!("xtask: {error}");
    std::process::ExitCode::FAILURE
}
