//! Configuration document, its records in the log and their reducer.
//!
//! This crate must not know sockets or HTTP.

mod document;
mod duration;
mod preset;
mod problem;
mod route;
mod service;
mod workspace;

pub use document::Document;
pub use duration::Millis;
pub use preset::Preset;
pub use problem::Problem;
pub use route::{Route, WorkClass};
pub use service::{Service, ServiceKind};
pub use workspace::Workspace;
