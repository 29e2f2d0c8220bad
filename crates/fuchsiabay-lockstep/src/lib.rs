//! Expert maps of groups of ranks whose engines take the orders themselves: demand for experts, a better layout, and the
//! switch of all ranks to it at one step.
//!
//! This crate must not know sockets, clocks or the platform. Replies and time are arguments.
//!
//! Invariants kept here: the hold of a step is confirmed before any rank is armed for it; the hold is released only when
//! every rank is armed with the same version and step, or when no rank is; a version stands for one layout.

mod demand;
mod layout;
mod order;
mod plan;
mod planner;
mod rank_state;
mod recovery;
mod switch;
mod takeover;

pub use demand::ExpertDemand;
pub use layout::ExpertLayout;
pub use order::{Order, OrderReply};
pub use plan::LayoutPlan;
pub use planner::{LayoutLimits, LayoutPlanner};
pub use rank_state::{ArmedMap, RankState};
pub use recovery::Recovery;
pub use switch::{MapSwitch, SwitchOutcome, SwitchTiming, next_version};
pub use takeover::Takeover;
