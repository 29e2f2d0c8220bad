//! The entry instance: accepts requests from callers, picks a backend server and relays the response.
//!
//! Invariants: a response goes only to the caller that sent the request; an incomplete response is visibly truncated;
//! the verdict `not-run` is returned only when no agent can have started the request; no new request is served under a
//! configuration that is not confirmed to be current.
//!
//! Limits on callers: the size of the head and of the body, the number of headers and of connections, and the time to
//! send the head and the body. A connection above the connection limit has no timeout until it sends its first byte;
//! it then gets a plain 503. For a head that is malformed, too large or too slow, the HTTP library closes the
//! connection with a response of its own or none, so the caller gets no problem body.

mod agent_connection;
mod caller_transport;
mod chat;
mod chat_request;
mod chat_writer;
mod config_source;
mod counters;
mod daemon;
mod dispatcher;
mod entry;
mod headers;
mod http_server;
mod membership;
mod ops_source;
mod peer_service;
mod plain;
mod problem_details;
mod quarantine_log;
mod request;
mod request_checks;
mod request_driver;
mod shutdown;
mod stream_body;
#[cfg(test)]
mod tests;

pub use daemon::{StartError, run};
