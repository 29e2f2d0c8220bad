//! A simulated fleet of backend servers and the policies that route requests to them.

mod fifo;
mod fuchsiabay;
mod simulation;

pub(crate) use fifo::{FifoPolicy, ServerChoice};
pub(crate) use fuchsiabay::{FuchsiabayPolicy, PresetSettings};
pub(crate) use simulation::{Event, FleetSettings, Outcome, Policy, RequestStatus, Simulation, run};
