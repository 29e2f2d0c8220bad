//! The entry instance: accepts callers, picks a backend server and relays the answer.
//!
//! Invariants kept here: an answer goes only to the caller of its request; an answer that is not complete is visibly
//! truncated; `not-run` is said only when no agent can have started the request; no new request is served under a
//! configuration that is not proved current.
//!
//! Limits of callers: the size of the head and of the body, the number of headers and of connections, and the times to
//! send the head and the body. A connection above the limit of connections is outside of the time limits until it sends
//! its first byte and gets a plain 503. A head that is malformed, too large or too slow ends the connection with the
//! HTTP library's own answer or none, so that neither has a problem body.

mod agent_link;
mod call;
mod caller_transport;
mod callers;
mod chat;
mod chat_request;
mod chat_writer;
mod commands;
mod config_source;
mod counters;
mod daemon;
mod dispatcher;
mod entry;
mod gate;
mod headers;
mod job;
mod membership;
mod peer_service;
mod plain;
mod problem;
mod quarantine_log;
mod queries;
mod stream_body;
#[cfg(test)]
mod tests;

pub use daemon::{StartError, run};
