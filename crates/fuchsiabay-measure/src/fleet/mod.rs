//! A fleet of backend servers on virtual time, driven by one policy.

mod fifo;
mod managed;
mod run;

pub(crate) use fifo::{Choice, Fifo};
pub(crate) use managed::{Managed, PresetLimits};
pub(crate) use run::{Event, Fate, Outcome, Policy, Scene, Settings, run};
