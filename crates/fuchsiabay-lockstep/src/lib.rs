//! Expert maps of groups whose engines execute the orders themselves: measures the demand for experts, plans a better
//! layout, and switches all ranks to it at the same step.
//!
//! An expert map is a layout under a version number. A set is one of an engine's layer sets, each of which has its own
//! experts.
//!
//! This crate must not depend on sockets, clocks or the platform. Replies and time are arguments.
//!
//! Invariants: the hold of a step is confirmed before any rank is armed for it; the hold is released only when every rank
//! is armed with the same version and step, or when no rank is armed and none can be armed by an order that is executed late;
//! reported states that may lack the effects of orders lead to no order; a version identifies exactly one layout.

mod demand;
mod demand_counter;
mod demand_delta;
mod layout;
mod lease_term;
mod membership_history;
mod order;
mod order_history;
mod pause_budget;
mod plan;
mod planner;
mod rank_state;
mod recovery;
mod recovery_run;
mod set_plan;
mod stall_watch;
mod switch;
mod takeover;

pub use demand::ExpertDemand;
pub use demand_counter::{DemandCounter, DemandCounts};
pub use demand_delta::DemandDelta;
pub use layout::ExpertLayout;
pub use lease_term::LeaseTerm;
pub use membership_history::MembershipHistory;
pub use order::{Order, OrderReply};
pub use order_history::OrderHistory;
pub use pause_budget::PauseBudget;
pub use plan::LayoutPlan;
pub use planner::{LayoutLimits, LayoutPlanner};
pub use rank_state::{ArmedMap, RankState};
pub use recovery::{Recovery, ReplacementLayout};
pub use recovery_run::RecoveryRun;
pub use stall_watch::StallWatch;
pub use switch::{MapSwitch, SwitchOutcome, SwitchTiming, next_version};
pub use takeover::Takeover;
