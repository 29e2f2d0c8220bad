//! What a coordinator remembers of the groups, and leaves to the next one.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{monotonic_now, spawn};
use serde::{Deserialize, Serialize};

use super::group::{Group, MIN_TOKENS_PER_EXPERT};
use crate::SourceError;

/// The interval in which the demand of a group is saved, in milliseconds. Older demand is still far better than none.
const SAVE_INTERVAL_MS: u64 = 2_500;

/// The weight of recalled demand, relative to the least that a layout is planned from.
const GUESS_WEIGHT: f64 = 1.5;

/// Demand for the experts of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SavedDemand {
    /// Tokens per expert, set by set, in parts of a thousand of the set.
    pub permille: Vec<Vec<u16>>,
    /// The tokens of one set.
    pub tokens: u64,
}

impl SavedDemand {
    fn of(group: &Group) -> Self {
        let permille = |set: &Vec<f64>| {
            let sum: f64 = set.iter().sum();
            set.iter().map(|tokens| (tokens * 1000.0 / sum.max(1.0)).round() as u16).collect()
        };
        let tokens = group.demand.tokens();
        Self { permille: tokens.iter().map(permille).collect(), tokens: group.demand.total() as u64 }
    }

    /// Returns the demand with the weight of a first guess, which new counts outweigh soon.
    fn tokens(&self) -> Vec<Vec<f64>> {
        let experts = self.permille.first().map_or(0, Vec::len) as f64;
        let guess = (MIN_TOKENS_PER_EXPERT * experts * GUESS_WEIGHT).min(self.tokens as f64);
        let scale = guess / 1000.0;
        self.permille.iter().map(|set| set.iter().map(|part| f64::from(*part) * scale).collect()).collect()
    }
}

/// Keeps demand where the next coordinator finds it.
pub trait DemandStore: Send + Sync + 'static {
    /// Saves the demand of `group`.
    fn save(&self, group: &str, demand: &SavedDemand)
    -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Returns the demand of every group.
    fn load(&self) -> impl Future<Output = Result<HashMap<String, SavedDemand>, SourceError>> + Send;
}

/// The demand of groups that were seen before.
#[derive(Debug)]
pub(super) struct Memory<D> {
    store: Arc<D>,
    known: HashMap<String, SavedDemand>,
    save_at: HashMap<String, Timestamp>,
}

impl<D: DemandStore> Memory<D> {
    pub(super) fn new(store: Arc<D>) -> Self {
        Self { store, known: HashMap::new(), save_at: HashMap::new() }
    }

    /// Reads what former coordinators saved.
    pub(super) async fn load(&mut self) {
        match self.store.load().await {
            Ok(saved) => {
                for (group, demand) in saved {
                    self.known.entry(group).or_insert(demand);
                }
            }
            Err(error) => log::info!(error:% = error; "group: saved demand not read"),
        }
    }

    /// Returns the demand of `group`, if it was seen before.
    pub(super) fn recall(&self, group: &str) -> Option<Vec<Vec<f64>>> {
        self.known.get(group).map(SavedDemand::tokens)
    }

    /// Remembers the demand of `group`, and saves it now and then.
    pub(super) fn note(&mut self, group: &Group) {
        let demand = SavedDemand::of(group);
        let now = monotonic_now();
        let save_at = self.save_at.entry(group.name.clone()).or_insert(now);
        if *save_at <= now {
            *save_at = now.plus_millis(SAVE_INTERVAL_MS);
            let (store, name, demand) = (self.store.clone(), group.name.clone(), demand.clone());
            spawn(async move {
                if let Err(error) = store.save(&name, &demand).await {
                    log::info!(group = name.as_str(), error:% = error; "group: demand not saved");
                }
            })
            .detach();
        }
        self.known.insert(group.name.clone(), demand);
    }
}
