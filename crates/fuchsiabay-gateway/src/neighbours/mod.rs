//! What entry instances tell each other: their requests at each server, and, where the store leaves one of them out, the
//! configuration and the directory.

mod exchange;
mod links;
mod service;
mod table;

pub(crate) use exchange::run;
pub(crate) use links::Links;
pub(crate) use service::{ExchangeReply, NeighbourService};
pub(crate) use table::NeighbourTable;
