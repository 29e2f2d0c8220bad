//! Prints the measures of the policies.

use bpaf::{Parser, construct, long};
use fuchsiabay_measure::{Measure, capacity, crest, expert_day, head_of_line, smallest_share, zone_loss};

#[derive(Clone, Debug)]
struct Options {
    seed: u64,
    json: bool,
    capacity: bool,
}

fn options() -> bpaf::OptionParser<Options> {
    let seed = long("seed").help("Seed of the traces").argument("N").fallback(1);
    let json = long("json").help("Prints JSON").switch();
    let capacity = long("capacity").help("Measures state and messages instead of policies").switch();
    construct!(Options { seed, json, capacity })
        .to_options()
        .descr("Measures the policies beside baselines on virtual time")
}

fn main() {
    let Options { seed, json, capacity: only_capacity } = options().run();
    if only_capacity {
        let capacity = capacity();
        return if json { println!("{}", serde_json::json!(capacity)) } else { print!("{capacity}") };
    }
    let measures: Vec<Measure> = [head_of_line, crest, smallest_share, zone_loss, expert_day]
        .iter()
        .map(|measure| measure(seed))
        .collect();
    if json {
        println!("{}", serde_json::json!({ "seed": seed, "measures": measures }));
        return;
    }
    println!("seed {seed}");
    for measure in &measures {
        println!("\n{measure}");
    }
}
