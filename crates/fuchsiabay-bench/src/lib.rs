//! Fakes of the platform services and a load generator, for tests and measurements only.
//!
//! This crate must not implement any of the decision logic of the daemons.

mod append_log;
mod cli;
mod clock;
mod engine;
mod instance_list;
mod load;
mod plain_service;
mod responses;
mod server;
mod weight_store;

pub use append_log::{FakeLog, LogFaults, LogSettings};
pub use cli::run;
pub use engine::{CrashMode, EngineSettings, FakeEngine, FencingMode};
pub use instance_list::FakeInstanceList;
pub use load::{LoadSettings, Outcome, Plan, PlannedRequest, Report, RequestKind, Target, run_load};
pub use plain_service::FakeService;
pub use responses::{TOKEN_LEN, TextMatch, TokenSequence, service_response_body};
pub use server::Server;
pub use weight_store::FakeWeightStore;
