//! Measures of the policies: the real decision code on virtual time, beside simple baselines on the same trace.
//!
//! The fleet here has no network, processes or protocol. It is an event queue with slots that are busy for a while, and
//! answers only which policy serves the same arrivals better.

mod capacity;
mod expert_day;
mod fleet;
mod report;
mod trace;
mod traffic;

pub use capacity::{Capacity, capacity};
pub use expert_day::expert_day;
pub use report::{Goal, Measure, Row};
pub use traffic::{crest, head_of_line, smallest_share, zone_loss};
