//! What an engine reports about itself.

use fuchsiabay_lockstep::RankState;

/// What an engine reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The name of its group and the state of its rank. None if it is in no group, or does not report its state.
    pub rank: Option<(String, RankState)>,
    /// When its server started, as stated by the engine, in milliseconds since the Unix epoch. Zero if unknown.
    pub started_at_ms: u64,
    /// Whether its server states that it is leaving.
    pub is_leaving: bool,
}
