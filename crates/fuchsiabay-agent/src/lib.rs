//! The agent that runs beside a backend server. It handles admission, at-most-once calls, orders, expert maps and
//! drain.
//!
//! The state machines of `fuchsiabay-admission`, `fuchsiabay-claims`, `fuchsiabay-experts` and `fuchsiabay-fencing`
//! make the decisions; this crate connects them to sockets, clocks and the backend server.
//!
//! Invariants: each admitted attempt ends with exactly one `End`; `not-run` is reported only once the attempt can no
//! longer start; an abandoned stream is cancelled at the engine.

mod agent;
mod agent_metrics;
mod attempt;
mod attempt_table;
mod backend;
mod claims;
mod config_view;
mod daemon;
mod group;
mod health;
mod instance_list;
mod orders;
mod params;
mod service_call;
mod session;
mod stream_relay;

pub use agent::Agent;
pub use config_view::ConfigView;
pub use daemon::{StartError, run};
pub use params::AgentParams;
