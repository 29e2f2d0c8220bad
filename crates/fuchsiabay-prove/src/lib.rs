//! Randomised runs of the decision code on virtual time, and trace replay.
//!
//! Each case generates a script of calls, operations and faults from its seed and runs the real decision code against
//! fakes of the log, the network and the services. The checks observe only effects: how often a service ran a key,
//! which verdicts callers received, which version each process served at which time.
//!
//! This crate must not depend on sockets or clocks.

mod case;
mod claims_agent;
mod claims_script;
mod claims_world;
mod config_model;
mod config_process;
mod config_script;
mod config_world;
mod crash_script;
mod crash_world;
mod dispatch;
mod drain_script;
mod drain_world;
mod fake_log;
mod leaving_entry;
mod leaving_script;
mod leaving_server;
mod leaving_world;
mod lockstep_group;
mod lockstep_script;
mod lockstep_world;
mod map_script;
mod map_world;
mod mechanism;
mod neighbour_instance;
mod neighbour_script;
mod neighbour_store;
mod neighbour_world;
mod options;
mod order_script;
mod order_world;
mod outcome;
mod promise;
mod replay;
mod run;
mod schedule;
mod script;
mod step;
mod stream_script;
mod stream_world;
mod trace;

pub use lockstep_group::LockstepGroup;
pub use lockstep_script::{LockstepAction, OrderKind};
pub use mechanism::{MECHANISMS, Mechanism};
pub use options::{Options, options};
pub use outcome::Outcome;
pub use promise::Promise;
pub use replay::{Replay, ReplayError, replay};
pub use run::{Summary, detects_absence, run};
pub use script::Script;
pub use step::Step;
pub use trace::Trace;
