//! Stand-ins of the platform and a load generator, for tests and measurements only.
//!
//! This crate must not decide anything that the daemons decide.

mod answer;
mod cli;
mod clock;
mod engine;
mod list;
mod load;
mod log;
mod server;
mod service;
mod weights;

pub use answer::{Answer, Comparison, TOKEN_LEN, plain_answer};
pub use cli::run;
pub use engine::{CrashMode, Engine, EngineSettings, Fencing};
pub use list::List;
pub use load::{Kind, LoadSettings, Outcome, Plan, Report, Request, Target, run_load};
pub use log::{Log, LogFaults, LogSettings};
pub use server::Server;
pub use service::Service;
pub use weights::Weights;
