//! Frames, messages and handshake between the processes of the system, as a pure codec.
//!
//! This crate must not know sockets or clocks: `fuchsiabay-runtime` feeds it bytes.
//!
//! Invariants kept here: a frame that does not decode never yields a message, and no message is accepted before
//! both sides have proved that they hold the shared key.

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
pub use frame::{DecodeError, Frame, MAX_FRAME_BYTES};
pub use frame_decoder::FrameDecoder;
pub use hello::{Hello, PROTOCOL_VERSION, Role};
pub use load_report::LoadReport;
pub use submit::{CancelReply, Priority, RefusalReason, SubmitReply, SubmitRequest, Work};
pub use tokens::Tokens;
