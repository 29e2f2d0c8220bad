//! Connections between the daemons. Each socket multiplexes many calls and token streams.

mod attempt_stream;
mod call;
mod connection;
mod handshake;
mod listener;
mod outgoing;
mod service;
mod sharded_map;

pub use attempt_stream::{AttemptEvent, AttemptStream};
pub use call::CallError;
pub use connection::{ConnectionClosed, Peer};
pub use handshake::{ConnectError, Identity};
pub use listener::PeerListener;
pub use service::PeerService;
