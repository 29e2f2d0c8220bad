//! What entry instances tell each other: their requests at each server, and the configuration and the directory, which only
//! some of them read from the store.

mod exchange;
mod links;
mod service;

pub(crate) use exchange::run;
pub(crate) use links::Links;
pub(crate) use service::{DirectoryNews, ExchangeReply, NeighbourService};
