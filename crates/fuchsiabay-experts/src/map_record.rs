//! The records in the log stream of one group.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiabay_base::WriterId;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::{ExpertMap, PendingSwitch, Segment};

/// The version number of an expert map of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct MapVersion(pub u64);

/// The number of a rank within its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rank(pub u16);

/// Identifies one attempt to switch to another map, by the log offset of its `Prepare` record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct SwitchId(pub u64);

/// A record of the log stream `maps-GROUP`.
///
/// Maps keyed by rank are serialized as lists of pairs, because JSON object keys cannot be numbers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum MapRecord {
    /// Assigns the group's ranks to agents. It cancels an undecided switch of the previous generation, because a
    /// replaced voter can no longer keep its promise.
    Generation {
        /// The number of the generation, one more than the previous one.
        generation: u64,
        /// The agent of each rank. An agent may serve several ranks.
        #[serde_as(as = "Vec<(_, _)>")]
        ranks: BTreeMap<Rank, WriterId>,
    },
    /// Proposes to use `map` from `hold_step` on.
    Prepare {
        /// The generation whose agents must vote.
        generation: u64,
        /// The proposed map.
        map: MapVersion,
        /// The first step that uses the proposed map. No rank may run it before the switch is decided.
        hold_step: u64,
        /// The content of the map. It is part of this record so that the content of a proposed map cannot be lost,
        /// and one version never stands for two contents.
        content: Arc<ExpertMap>,
    },
    /// The promise of one agent that none of its ranks has been permitted to run the hold step and that the weights
    /// of the proposed map are loaded. The record that makes the vote unanimous commits the switch.
    Vote {
        /// The switch that is voted for.
        switch: SwitchId,
        /// The generation of the voter.
        generation: u64,
        /// The agent that votes.
        writer: WriterId,
    },
    /// Aborts a switch that is not committed yet.
    Abort {
        /// The switch to abort.
        switch: SwitchId,
    },
    /// Repeats the full state, so that it outlives the retention of the log.
    Snapshot {
        /// The state covers every record up to and including this offset.
        as_of: u64,
        /// The current generation.
        generation: u64,
        /// The agent of each rank.
        #[serde_as(as = "Vec<(_, _)>")]
        ranks: BTreeMap<Rank, WriterId>,
        /// The most recent segments. Earlier steps are finished.
        segments: Vec<Segment>,
        /// The content of the last map, or `None` for the first map, which follows from the settings.
        content: Option<Arc<ExpertMap>>,
        /// The undecided switch, if there is one.
        pending: Option<PendingSwitch>,
        /// The highest map version that was proposed.
        last_proposed: MapVersion,
    },
}
