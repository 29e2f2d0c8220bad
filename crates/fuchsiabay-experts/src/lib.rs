//! Expert maps: the ledger over log order, the step gate of a rank's agent, and placement.
//!
//! This crate must not know sockets or clocks.
//!
//! Invariants kept here: the map of a step is a pure function of the log prefix and never changes once it is known;
//! a gate never permits a step whose map could still change.

mod expert_map;
mod ledger;
mod lookahead;
mod map_record;
mod placement;
mod planner;
mod popularity;
mod proposer;
mod step_gate;

pub use expert_map::{ExpertMap, Replica};
pub use ledger::{MapLedger, PendingSwitch, Segment};
pub use lookahead::Lookahead;
pub use map_record::{MapRecord, MapVersion, Rank, SwitchId};
pub use placement::{Move, Placement};
pub use planner::{Planner, PlannerLimits};
pub use popularity::Popularity;
pub use proposer::Proposer;
pub use step_gate::{Permit, StepGate};
