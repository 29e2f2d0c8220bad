//! Expert maps: the ledger that derives them from the log, the step gate of an agent, and the placement of experts.
//!
//! This crate must not use sockets or clocks.
//!
//! Invariants: the map of a step is a pure function of a prefix of the log and never changes once it is known; a gate
//! never permits a step whose map could still change.

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
