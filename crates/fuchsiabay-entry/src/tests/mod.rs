//! Tests of the entry instance over real sockets, against fake agents that implement the RPC interface.

mod bad_input;
mod fake_agent;
mod harness;
mod requests;
