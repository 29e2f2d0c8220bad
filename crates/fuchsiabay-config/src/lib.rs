//! The configuration document, its log records and their reducer.
//!
//! This crate must not depend on sockets or HTTP.

mod document;
mod duration;
mod freshness;
mod preset;
mod problem;
mod publish_tracker;
mod readers;
mod record;
mod reducer;
mod route;
mod service;
mod versioned_config;
mod workspace;

pub use document::Document;
pub use duration::Millis;
pub use freshness::{CONFIG_LIFETIME_MS, Freshness, LOG_FAILURE_LIFETIME_MS, OUTAGE_REPORT_LIFETIME_MS};
pub use preset::Preset;
pub use problem::Problem;
pub use publish_tracker::{PublishOutcome, PublishTracker};
pub use readers::{READERS_PER_ZONE, Readers};
pub use record::{ConfigRecord, PublishId};
pub use reducer::{ConfigReducer, RecordEffect, RejectReason};
pub use route::{Route, WorkClass};
pub use service::{Service, ServiceKind};
pub use versioned_config::VersionedConfig;
pub use workspace::Workspace;
