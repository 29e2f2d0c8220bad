//! Keeps the expert maps of lockstep groups in line with demand.
//!
//! One instance at a time coordinates: the one that holds the duty in the store.

mod coordinator;
mod engine_control;
mod group;

mod orders;
mod watch;

pub use engine_control::{DemandSample, EngineControl, EngineError, RankExperts};

pub(crate) use coordinator::run;
pub(crate) use watch::run as watch;
