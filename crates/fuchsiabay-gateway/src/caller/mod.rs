//! Caller connections.

mod connection;
mod interrupt;
mod listener;
mod local_response;

pub(crate) use interrupt::{Interrupt, until_interrupted};
pub(crate) use listener::serve;
pub(crate) use local_response::LocalResponse;
