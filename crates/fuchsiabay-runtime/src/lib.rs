//! smol I/O of the daemons: peer connections, platform clients and operators' HTTP.
//!
//! This crate must not know decisions: it moves messages and reports what happened to them.
//!
//! Invariant kept here: a call is reported as `not-run` only when its frame was never handed to the socket.

mod clock;
mod peer;

pub use clock::{monotonic_now, sleep_until, spawn, unix_now};
pub use peer::{
    AttemptEvent, AttemptStream, CallError, ConnectError, Identity, Peer, PeerClosed, PeerListener,
    PeerService,
};
