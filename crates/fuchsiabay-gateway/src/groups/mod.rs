//! Adapts the expert maps of lockstep groups to the demand.
//!
//! Only the instance that holds the coordinator lease of the store does this.

mod coordinator;
mod engine_control;
mod group;
mod orders;
mod watch;

pub use engine_control::{DemandSample, EngineControl, EngineError, RankExperts};

pub(crate) use coordinator::run;
pub(crate) use watch::run as watch;
