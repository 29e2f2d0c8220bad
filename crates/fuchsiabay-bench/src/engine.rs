//! Fake of a model engine with continuous batching.

mod cache;
mod group;
mod http;
mod load_history;
mod orders;
mod settings;
mod state;
mod stream;

pub use http::FakeEngine;
pub use settings::{CrashMode, EngineSettings, FencingMode};
