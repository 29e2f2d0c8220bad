//! The command line.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::{MECHANISMS, Mechanism, Promise, Summary, Trace, replay, run};

/// What to do.
#[derive(Clone, Debug)]
pub enum Options {
    /// List the promises and the mechanisms.
    List,
    /// Replay trace files.
    Replay {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Write the observed outcomes into trace files.
    Record {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Run random cases.
    Run {
        /// The seed of the run.
        seed: u64,
        /// Cases of each promise.
        cases: u64,
        /// The promise to test, or all.
        promise: Option<Promise>,
        /// The mechanism to turn off.
        without: Option<&'static Mechanism>,
        /// Where traces of violations are written.
        out: PathBuf,
    },
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Options> {
    let list = long("list").help("Lists the promises and the mechanisms").req_flag(Options::List);
    let files = trace_files();
    let record = construct!(Options::Record { files })
        .to_options()
        .descr("Runs the scripts of traces and writes the observed outcomes into them")
        .command("record");
    let files = trace_files();
    let replay = construct!(Options::Replay { files })
        .to_options()
        .descr("Replays traces against their stated outcomes")
        .command("replay");
    let seed = long("seed").help("Seed of the run").argument("N").fallback(1).display_fallback();
    let cases = long("cases").help("Cases of each promise").argument("M").fallback(200).display_fallback();
    let promise = long("promise").help("Runs one promise").argument("NAME").optional();
    let without = long("without")
        .help("Turns a mechanism off; the run must then report violations")
        .argument::<String>("MECHANISM")
        .parse(|name| Mechanism::find(&name).ok_or("--list names the mechanisms"))
        .optional();
    let out = long("out")
        .help("Directory of the traces of violations")
        .argument("DIR")
        .fallback(PathBuf::from("target/prove"));
    let run = construct!(Options::Run { seed, cases, promise, without, out });
    construct!([replay, record, list, run]).to_options().descr("Runs the decision code on virtual time")
}

fn trace_files() -> impl Parser<Vec<PathBuf>> {
    positional("FILE").help("A trace file").some("at least one trace file is required")
}

impl Options {
    /// Does what the options say.
    pub fn execute(self) -> ExitCode {
        let ok = match self {
            Self::List => list(),
            Self::Replay { files } => files.iter().filter(|file| !replay_file(file)).count() == 0,
            Self::Record { files } => files.iter().filter(|file| !record_file(file)).count() == 0,
            Self::Run { without: Some(_), .. } if !cfg!(feature = "ablation") => {
                eprintln!("prove: --without needs the feature `ablation`; `cargo xtask prove` turns it on");
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
        Err(error) => println!("  the trace could not be written: {error}"),
    }
    false
}

fn replay_file(file: &std::path::Path) -> bool {
    match replay(file) {
        Ok(result) if result.matches() => {
            println!("replay {}: as stated", file.display());
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
