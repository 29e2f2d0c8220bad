//! Configuration document, its records in the log and their reducer.
//!
//! This crate must not know sockets or HTTP.

mod document;
mod duration;
mod freshness;
mod in_force;
mod preset;
mod problem;
mod publish_tracker;
mod readers;
mod record;
mod reducer;
mod route;
mod service;
mod workspace;

pub use document::Document;
pub use duration::Millis;
pub use freshness::{FRESH_MS, Freshness, LOG_FAILURE_MS, OUTAGE_REPORT_MS};
pub use in_force::InForce;
pub use preset::Preset;
pub use problem::Problem;
pub use publish_tracker::{PublishTracker, Settled};
pub use readers::{READERS_PER_ZONE, Readers};
pub use record::{ConfigRecord, PublishId};
pub use reducer::{Applied, ConfigReducer, RejectReason};
pub use route::{Route, WorkClass};
pub use service::{Service, ServiceKind};
pub use workspace::Workspace;
