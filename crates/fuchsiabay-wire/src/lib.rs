//! The protocol between entry instances and agents: frames, messages and authentication, without I/O.
//!
//! This crate must not use sockets or clocks: `fuchsiabay-runtime` passes it the bytes it receives.
//!
//! Invariants: a malformed frame never yields a message, and no message is accepted before both sides have proved that
//! they hold the shared key.

mod api;
mod auth;
mod config_delta;
mod config_pull;
mod end;
mod frame;
mod frame_decoder;
mod hello;
mod load_report;
mod submit;
mod tokens;

pub use api::{AgentApiServer, EntryApiServer};
pub use auth::{AuthTag, SharedKey};
pub use config_delta::ConfigDelta;
pub use config_pull::{ConfigPullReply, ConfigPullRequest};
pub use end::{AttemptError, End, PlainResponse};
pub use frame::{Frame, FrameError, MAX_FRAME_BYTES};
pub use frame_decoder::FrameDecoder;
pub use hello::{Hello, PROTOCOL_VERSION, Role};
pub use load_report::LoadReport;
pub use submit::{CancelReply, Priority, RefusalReason, SubmitReply, SubmitRequest, Work};
pub use tokens::Tokens;
