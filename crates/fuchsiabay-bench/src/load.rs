//! Open-loop load generator.

mod client;
mod outcome;
mod plan;
mod report;
mod run;
mod settings;

pub use outcome::Outcome;
pub use plan::{Plan, PlannedRequest, RequestKind};
pub use report::Report;
pub use run::run_load;
pub use settings::{LoadSettings, Target};
