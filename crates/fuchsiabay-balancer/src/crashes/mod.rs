//! Detection of requests, and of parts of their prompts, that crash the servers that run them.
//!
//! A loss of connections to a server counts as its crash unless its process responds again. So does the silence of a server, and
//! its disappearance from the directory after an attempt at it was given up. Everything that its unfinished requests have in
//! common with those of earlier crashes is suspect: each shared part of a prompt, and the request as a whole. A part that servers
//! survived several times is not suspect. The fewest suspects that explain the crashes are quarantined, and every whole request
//! under which more servers crashed than chance explains: servers may survive other requests that look the same.
//!
//! The instances tell each other of crashes, so that each of them judges by the crashes that all have seen. A record of the crashes
//! that have suspects in common outlives all of them.

mod commands;
mod crash;
mod event;
mod given_up;
mod incarnation;
mod occupancies;
mod occupancy;
mod queries;
mod record;
mod report;
mod survivals;
mod suspect;
mod suspects;
mod tally;
mod verdicts;

use std::collections::BTreeMap;

use fuchsiabay_base::{Fingerprint, Timestamp};

use self::{
    crash::Crash, event::Events, given_up::GivenUpAttempts, occupancies::Occupancies, survivals::Survivals,
    verdicts::Verdicts,
};

pub use event::CrashEvent;
pub use incarnation::Incarnation;
pub use occupancies::RequestOccupancy;
pub use occupancy::Occupancy;
pub use queries::Quarantine;
pub use record::CrashRecord;
pub use report::{CrashReport, ReportedSuspect};
pub use survivals::SurvivedRun;
pub use suspect::Suspect;

/// The crashes of backend servers and what the requests that ran on them have in common.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    crashes: BTreeMap<Incarnation, Crash>,
    given_up: GivenUpAttempts,
    survivals: Survivals,
    /// The whole requests under which several servers were lost.
    contested: Vec<Fingerprint>,
    occupancies: Occupancies,
    /// When servers have disappeared from the directory.
    disappeared: BTreeMap<Incarnation, Timestamp>,
    /// When each server was last known to live.
    alive_at: BTreeMap<Incarnation, Timestamp>,
    verdicts: Verdicts,
    /// The revision of what is told to other instances.
    revision: u64,
    events: Events,
}
