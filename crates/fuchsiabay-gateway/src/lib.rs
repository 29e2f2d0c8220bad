//! An entry instance that sends straight to backend servers: callers' HTTP, relay of responses and streams, retries,
//! shutdown, and the tasks that follow the configuration and the directory.
//!
//! This crate must not know the platform's names: header names come in a [`HeaderNames`], and the store, the directory and
//! the engines are reached through small traits.
//!
//! Invariants kept here: a refusal with 429 or 503 is sent only when the request provably did not run; bytes of a
//! response reach only the caller whose request id the server echoed; a response that ended early never looks whole.

mod agent;
mod backend;
mod caller;
mod client;
mod coordinator_lease;
mod daemon;
mod drain;
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
mod signals;
mod source;

pub use agent::{AgentSettings, RunningAgent, TARGET_ENGINE_HEADER, run_agent};
pub use client::{CallError, CallResponse, HttpClient};
pub use daemon::{RunningGateway, StartError, run};
pub use groups::{DemandSample, EngineControl, EngineError, RankExperts};
pub use header_names::HeaderNames;
pub use membership::MEMBERSHIP_LEASE_MS;
pub use settings::{GatewaySettings, LiveSettings};
pub use source::{
    ConfigSource, ConfigUpdate, MembershipSource, MembershipView, Platform, ServerSource, ServerUpdate,
    SourceError,
};
