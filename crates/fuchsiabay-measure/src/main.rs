//! Prints benchmarks of the policies, or the cost of state and messages.

use bpaf::{Parser, construct, long};
use fuchsiabay_measure::{Benchmark, capacity, crest, expert_day, head_of_line, smallest_share, zone_loss};

#[derive(Clone, Debug)]
struct Options {
    seed: u64,
    json: bool,
    capacity: bool,
}

fn options() -> bpaf::OptionParser<Options> {
    let seed = long("seed").help("Seed of the traces").argument("N").fallback(1);
    let json = long("json").help("Print the figures as one line of JSON").switch();
    let capacity =
        long("capacity").help("Measure the cost of state and messages instead of the policies").switch();
    construct!(Options { seed, json, capacity })
        .to_options()
        .descr("Compares the policies with baselines on virtual time")
}

fn main() {
    let Options { seed, json, capacity: only_capacity } = options().run();
    if only_capacity {
        let capacity = capacity();
        return if json { println!("{}", serde_json::json!(capacity)) } else { print!("{capacity}") };
    }
    let benchmarks: Vec<Benchmark> = [head_of_line, crest, smallest_share, zone_loss, expert_day]
        .iter()
        .map(|benchmark| benchmark(seed))
        .collect();
    if json {
        println!("{}", serde_json::json!({ "seed": seed, "measures": benchmarks }));
        return;
    }
    println!("seed {seed}");
    for benchmark in &benchmarks {
        println!("\n{benchmark}");
    }
}
