//! Records of the log stream of one group.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiabay_base::WriterId;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::{ExpertMap, PendingSwitch, Segment};

/// The number of an expert map of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct MapVersion(pub u64);

/// A rank of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rank(pub u16);

/// Identifies one attempt to switch: the offset of its `Prepare` record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct SwitchId(pub u64);

/// A record of the log stream `maps-GROUP`.
///
/// Maps with ranks as keys are lists of pairs, because JSON has no keys that are numbers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum MapRecord {
    /// Names the agents of the group's ranks. It voids an undecided switch of the generation before, because a lost
    /// voter can no longer keep its promise.
    Generation {
        /// The number, one above the generation before.
        generation: u64,
        /// The agent of each rank. An agent may serve several ranks.
        #[serde_as(as = "Vec<(_, _)>")]
        ranks: BTreeMap<Rank, WriterId>,
    },
    /// Proposes that `map` is used from `hold_step` on.
    Prepare {
        /// The generation that must vote.
        generation: u64,
        /// The proposed map.
        map: MapVersion,
        /// The first step of the proposed map. No rank passes it before the decision.
        hold_step: u64,
        /// The content of the map. It is in the same record, so that no map is proposed whose content is lost, and no
        /// number stands for two contents.
        content: Arc<ExpertMap>,
    },
    /// The promise of one agent, for all its ranks, that none of them was permitted the hold step and that the weights
    /// of the proposed map are loaded. The switch is committed by the record that completes the votes.
    Vote {
        /// The switch.
        switch: SwitchId,
        /// The generation of the voter.
        generation: u64,
        /// The voter.
        writer: WriterId,
    },
    /// Ends a switch that is not committed yet.
    Abort {
        /// The switch.
        switch: SwitchId,
    },
    /// Repeats the state, so that retention cannot drop it.
    Snapshot {
        /// The state includes every record up to this offset.
        as_of: u64,
        /// The generation.
        generation: u64,
        /// The agent of each rank.
        #[serde_as(as = "Vec<(_, _)>")]
        ranks: BTreeMap<Rank, WriterId>,
        /// The last segments. Earlier steps are finished.
        segments: Vec<Segment>,
        /// The content of the last map, unless it is the first one, which follows from the settings.
        content: Option<Arc<ExpertMap>>,
        /// The undecided switch.
        pending: Option<PendingSwitch>,
        /// The highest map that was proposed.
        last_proposed: MapVersion,
    },
}
