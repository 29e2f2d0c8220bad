//! Stand-in of a model engine.

mod batch;
mod cache;
mod group;
mod http;
mod load_history;
mod orders;
mod settings;
mod stream;

pub use http::FakeEngine;
pub use settings::{CrashMode, EngineSettings, FencingMode};
