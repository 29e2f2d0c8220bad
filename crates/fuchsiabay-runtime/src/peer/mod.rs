//! Connections between the processes of the system: many calls and token streams at a time on one socket.

mod attempt_stream;
mod call;
mod connection;
mod handshake;
mod listener;
mod outgoing;
mod service;
mod shards;

pub use attempt_stream::{AttemptEvent, AttemptStream};
pub use call::CallError;
pub use connection::{ConnectionClosed, Peer};
pub use handshake::{ConnectError, Identity};
pub use listener::PeerListener;
pub use service::PeerService;
