//! smol-based I/O of the daemons: peer connections, platform clients and the ops HTTP server.
//!
//! This crate must not contain decision logic: it transports messages and reports the outcome of each.
//!
//! Invariant: a call is reported as `not-run` only if its frame was never passed to the socket.

mod bounded_appender;
mod clock;
mod daemon_options;
mod http_client;
mod instance;
mod instance_list_client;
mod log_client;
mod log_page;
pub mod logging;
pub mod metrics_export;
mod ops;
mod ops_client;
mod peer;
mod shutdown;

pub use clock::{monotonic_now, sleep_until, spawn, unix_now};
pub use daemon_options::DaemonOptions;
pub use instance::{Instance, InstanceState};
pub use instance_list_client::{InstanceListClient, InstanceListError};
pub use log_client::{LogClient, LogError};
pub use log_page::{LogPage, LogRecord};
pub use ops::{OpsServer, OpsSource};
pub use ops_client::{OpsClient, OpsError};
pub use peer::{
    AttemptEvent, AttemptStream, CallError, ConnectError, ConnectionClosed, Identity, Peer, PeerListener,
    PeerService,
};
pub use shutdown::{ShutdownRequest, ShutdownSignals};
