//! An entry instance that forwards requests directly to backend servers: serving callers over HTTP, relaying responses
//! and streams, retries, graceful shutdown, and the tasks that keep the configuration and the directory up to date.
//!
//! The crate does not depend on the names of a platform: header names are passed in as [`HeaderNames`], and the store,
//! the directory and the engines are accessed through the traits of [`Platform`].
//!
//! Invariants:
//!
//! - A request is refused with 429 or 503 only if it provably did not run.
//! - Bytes of a response reach only the caller whose request id the server echoed.
//! - A truncated response never looks complete.

mod agent;
mod backend;
mod body_budget;
mod caller;
mod client;
mod client_pool;
mod cold_events;
mod command;
mod compression;
mod config_report;
mod coordinator_lease;
mod crash_events;
mod crash_persistence;
mod daemon;
mod dependency_status;
mod drain;
mod fair_share_events;
mod follow;
mod gateway;
mod groups;
mod header_names;
mod http;
mod longest_deadlines;
mod membership;
mod neighbours;
mod request;
mod request_metrics;
mod settings;
mod shard;
mod signal;
mod signals;
mod source;
mod step_limit;
mod zone_drains;
mod zone_events;

pub use agent::{AgentSettings, DEMAND_PATH, RunningAgent, TARGET_ENGINE_HEADER, run_agent};
pub use client::{CallError, CallResponse, HttpClient};
pub use client_pool::ClientPool;
pub use command::{Command, Role, RunOptions};
pub use compression::{ORDER_ENCODING, compress};
pub use config_report::{ConfigFileError, ConfigReport, print_config_report};
pub use daemon::{RunningGateway, StartError, run};
pub use groups::{
    AgentBypasses, EncodedOrder, EncodedOrders, EngineControl, EngineError, EngineReport, RankExperts,
};
pub use header_names::HeaderNames;
pub use membership::MEMBERSHIP_LEASE_MS;
pub use settings::{GatewaySettings, LiveSettings};
pub use source::{
    ConfigSource, ConfigUpdate, CrashStore, DrainedZonesUpdate, MembershipSource, MembershipView, Platform,
    ServerSource, ServerUpdate, SourceError,
};
