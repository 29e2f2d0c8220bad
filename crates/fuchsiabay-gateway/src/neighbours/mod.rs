//! The exchange between entry instances: the number of their requests at each server, the crashes of servers, and the
//! configuration and the directory, which only some instances read from the store.

mod connections;
mod exchange;
mod load_report;
mod service;
#[cfg(test)]
mod tests;

pub(crate) use connections::NeighbourConnections;
pub(crate) use exchange::run;
pub(crate) use load_report::LoadReport;
pub(crate) use service::{CrashUpdate, DirectoryUpdate, ExchangeReply, NeighbourService};
