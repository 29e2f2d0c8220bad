//! The content of an expert map, as it is stored in the log.

use serde::{Deserialize, Serialize};

use crate::Placement;

/// The fixed-point value of a share of 1. Shares are stored as integers, so that every reader has a bit-identical map.
pub(crate) const SHARE_SCALE: u16 = 10_000;

/// The content of one slot of a rank: a replica of an expert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Replica(
    /// The expert.
    pub u16,
    /// Its share of the expert's tokens, in ten-thousandths.
    pub u16,
);

/// Which ranks hold which experts, and which share of an expert's tokens each replica serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ExpertMap {
    /// The replicas in the slots of each rank.
    pub ranks: Vec<Vec<Replica>>,
}

impl From<&Placement> for ExpertMap {
    fn from(placement: &Placement) -> Self {
        let slot = |rank: usize, expert: u16| {
            let replica = placement.replicas(expert).iter().find(|replica| usize::from(replica.0) == rank);
            let share = replica.map_or(0.0, |replica| replica.1);
            Replica(expert, (share * f64::from(SHARE_SCALE)).round() as u16)
        };
        let slots =
            |(rank, experts): (usize, &Vec<u16>)| experts.iter().map(|&expert| slot(rank, expert)).collect();
        Self { ranks: placement.slots().iter().enumerate().map(slots).collect() }
    }
}
