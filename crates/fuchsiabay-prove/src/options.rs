//! The command line of `fuchsiabay-prove`.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::{MECHANISMS, Mechanism, Promise, Summary, Trace, replay, run};

/// A parsed command line.
#[derive(Clone, Debug)]
pub enum Options {
    /// List the promises and the mechanisms.
    List,
    /// Replay trace files and compare the observed outcomes with the expected ones.
    Replay {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Run trace files and store the observed outcomes in them as the expected ones.
    Record {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Run random cases.
    Run {
        /// The seed of the run.
        seed: u64,
        /// The number of cases for each promise.
        cases: u64,
        /// The promise to test. The default is the promise of the disabled mechanism, or all promises.
        promise: Option<Promise>,
        /// The mechanism to disable.
        without: Option<&'static Mechanism>,
        /// The directory for traces of violations.
        out: PathBuf,
    },
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Options> {
    let list = long("list").help("Lists the promises and the mechanisms").req_flag(Options::List);
    let files = trace_files();
    let record = construct!(Options::Record { files })
        .to_options()
        .descr("Runs the scripts of traces and stores the observed outcomes in the files")
        .command("record");
    let files = trace_files();
    let replay = construct!(Options::Replay { files })
        .to_options()
        .descr("Replays traces and compares the outcomes with the expected ones")
        .command("replay");
    let seed = long("seed").help("Seed of the run").argument("N").fallback(1).display_fallback();
    let cases =
        long("cases").help("Number of cases for each promise").argument("M").fallback(200).display_fallback();
    let promise = long("promise").help("Tests only this promise").argument("NAME").optional();
    let without = long("without")
        .help("Disables a mechanism; the run must then report violations")
        .argument::<String>("MECHANISM")
        .parse(|name| Mechanism::find(&name).ok_or("unknown mechanism; --list shows the known ones"))
        .optional();
    let out = long("out")
        .help("Directory for traces of violations")
        .argument("DIR")
        .fallback(PathBuf::from("target/prove"));
    let run = construct!(Options::Run { seed, cases, promise, without, out });
    construct!([replay, record, list, run]).to_options().descr("Runs the decision code on virtual time")
}

fn trace_files() -> impl Parser<Vec<PathBuf>> {
    positional("FILE").help("A trace file").some("at least one trace file is required")
}

impl Options {
    /// Runs the command.
    pub fn execute(self) -> ExitCode {
        let ok = match self {
            Self::List => list(),
            Self::Replay { files } => files.iter().filter(|file| !replay_file(file)).count() == 0,
            Self::Record { files } => files.iter().filter(|file| !record_file(file)).count() == 0,
            Self::Run { without: Some(_), .. } if !cfg!(feature = "ablation") => {
                eprintln!("prove: --without needs the feature `ablation`; `cargo xtask prove` enables it");
                false
            }
            Self::Run { seed, cases, promise, without, out } => {
                let promise = promise.or(without.map(|mechanism| mechanism.promise));
                let chosen = |p: &&Promise| promise.is_none_or(|wanted| wanted == **p);
                let broken = |p: &&Promise| !report(&run(**p, seed, cases, without), &out);
                Promise::ALL.iter().filter(chosen).filter(broken).count() == 0
            }
        };
        if ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

fn list() -> bool {
    for promise in Promise::ALL {
        println!("promise {promise}: {}", promise.description());
    }
    for mechanism in MECHANISMS {
        println!("mechanism {}: {} (promise {})", mechanism.name, mechanism.description, mechanism.promise);
    }
    true
}

fn report(summary: &Summary, out: &std::path::Path) -> bool {
    println!("{summary}");
    let Some(trace) = &summary.trace else {
        return true;
    };
    for violation in &trace.expected.violations {
        println!("  {violation}");
    }
    match trace.write(out) {
        Ok(file) => println!("  trace: {}", file.display()),
        Err(error) => println!("  cannot write the trace: {error}"),
    }
    false
}

fn replay_file(file: &std::path::Path) -> bool {
    match replay(file) {
        Ok(result) if result.matches() => {
            println!("replay {}: matches", file.display());
            true
        }
        Ok(result) => {
            println!("replay {}: differs", file.display());
            for line in result.differences() {
                println!("  {line}");
            }
            false
        }
        Err(error) => {
            println!("replay {}: {error}", file.display());
            false
        }
    }
}

fn record_file(file: &std::path::Path) -> bool {
    let recorded = Trace::read(file).and_then(|mut trace| {
        trace.expected = trace.run()?;
        Ok(trace.write_to(file)?)
    });
    let ok = recorded.is_ok();
    match recorded {
        Ok(()) => println!("record {}: written", file.display()),
        Err(error) => println!("record {}: {error}", file.display()),
    }
    ok
}
