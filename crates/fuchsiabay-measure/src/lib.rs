//! Benchmarks of the policies: runs the decision code of the daemons on virtual time and compares it with simple
//! baselines on the same trace.
//!
//! The simulated fleet has no network, processes or protocol. Each server is a number of slots that requests occupy
//! for their duration, so the results show only how the policies compare on the same arrivals.
//!
//! [`capacity()`] measures the memory and processor time of state, and the size of messages, without a simulation.

mod admission_routing;
mod capacity;
mod expert_placement;
mod fleet;
mod report;
mod trace;

pub use admission_routing::{crest, head_of_line, smallest_share, zone_loss};
pub use capacity::{Capacity, capacity};
pub use expert_placement::expert_day;
pub use report::{Benchmark, Goal, Row};
