//! Connections of callers.

mod connection;
mod guard;
mod listener;
mod own_response;

pub(crate) use guard::{Interrupt, until_interrupted};
pub(crate) use listener::serve;
pub(crate) use own_response::OwnResponse;
