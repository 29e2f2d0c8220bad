//! The agent beside a backend server: admission, at-most-once calls, orders and drain.
//!
//! Decisions are made by the state machines of `fuchsiabay-admission`, `fuchsiabay-claims`, `fuchsiabay-experts` and
//! `fuchsiabay-fencing`; this crate connects them to sockets, clocks and the backend server.
//!
//! Invariants kept here: each admitted attempt ends with one `End`; `not-run` is said only after the start was
//! made impossible; an abandoned engine stream is cancelled at the engine.

mod agent;
mod attempt;
mod attempts;
mod backend;
mod claims;
mod config_view;
mod daemon;
mod group;
mod health;
mod leaving;
mod meters;
mod orders;
mod params;
mod service_call;
mod session;
mod stream;

pub use agent::Agent;
pub use config_view::ConfigView;
pub use daemon::{StartError, run};
pub use params::AgentParams;
