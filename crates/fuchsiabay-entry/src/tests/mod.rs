//! The entry over real sockets, with stand-ins of the agents at the interface of remote calls.

mod bad_input;
mod fake_agent;
mod requests;
mod world;
