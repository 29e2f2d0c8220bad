//! Stand-ins for the platform, the workers and the consumers of the cases 6 and 7, and the runner of the entry processes.
//!
//! Uses the standard library only, and loopback addresses only. `standin CASE FOLDER TEMP` plays a case: 1 if the rule was broken,
//! 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod store;
mod world;

use std::{env, path::Path, process::exit};

fn main() {
    // A thread that panics must not look like a verdict.
    std::panic::set_hook(Box::new(|info| {
        eprintln!("standin: {info}");
        exit(2);
    }));
    let args: Vec<String> = env::args().collect();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder, temp) = match args.as_slice() {
        [_, case, folder, temp] => (case.as_str(), Path::new(folder), Path::new(temp)),
        _ => exit(2),
    };
    let result = match case {
        "route" => cases::route(folder, temp, trouble),
        "budget" => cases::budget(folder, temp, trouble),
        _ => exit(2),
    };
    match result {
        Ok(is_broken) => exit(i32::from(is_broken)),
        Err(error) => {
            eprintln!("cannot run: {error}");
            exit(2);
        }
    }
}
