//! The drained zones as this instance knows them. Changes are passed to all services, logged and counted.

use std::{collections::BTreeSet, fmt::Display, sync::Arc};

use fuchsiabay_balancer::DrainedZones;
use fuchsiabay_base::ZoneName;
use parking_lot::{Mutex, MutexGuard};
use serde_json::{Value, json};

use crate::{shard::ServiceShard, source::DrainedZonesUpdate};

/// The drained zones.
#[derive(Debug, Default)]
pub(crate) struct ZoneDrains(Mutex<DrainedZones>);

impl ZoneDrains {
    /// Returns the known records. While the guard exists, the drained zones of no shard change.
    pub(crate) fn lock(&self) -> MutexGuard<'_, DrainedZones> {
        self.0.lock()
    }

    /// Applies `change`, which comes from `source`, and passes the drained zones to `shards` if it has changed them. Once this has
    /// returned, no shard permits a request to a server of a drained zone.
    pub(crate) fn apply(
        &self,
        source: impl Display,
        shards: impl FnOnce() -> Vec<Arc<ServiceShard>>,
        change: impl FnOnce(&mut DrainedZones),
    ) {
        let mut known = self.lock();
        let before = known.drained();
        change(&mut known);
        let drained = known.drained();
        if drained == before {
            return;
        }
        let shards = shards();
        shards.iter().for_each(|shard| shard.set_drained_zones(&drained));
        record_changes(&known, &before, &drained, source, &shards);
    }

    /// Returns the known records, for the state dump of the instance.
    pub(crate) fn status(&self) -> Value {
        let known = self.lock();
        json!({ "drained": known.drained(), "known": &*known })
    }
}

/// Applies what the store states.
pub(crate) fn apply_update(known: &mut DrainedZones, update: DrainedZonesUpdate) {
    let Some(position) = update.listing else {
        for (position, zone, is_drained) in update.records {
            known.apply(zone, is_drained, position);
        }
        return;
    };
    // A listing may name a removed record. It then says no more than one without it, which may come from an old copy.
    let drained = update.records.into_iter().filter(|(_, _, is_drained)| *is_drained);
    known.apply_listing(drained.map(|(_, zone, _)| zone), position);
}

fn record_changes(
    known: &DrainedZones,
    before: &BTreeSet<ZoneName>,
    drained: &BTreeSet<ZoneName>,
    source: impl Display,
    shards: &[Arc<ServiceShard>],
) {
    for zone in before.symmetric_difference(drained) {
        let is_drained = drained.contains(zone);
        let position = known.position(zone).unwrap_or_default();
        let servers: usize = shards.iter().map(|shard| shard.server_count_in(zone)).sum();
        let message = if is_drained { "zone: drain begins" } else { "zone: drain ends" };
        log::info!(
            zone = zone.as_str(), source:%, position = position.offset, epoch = position.epoch, servers;
            "{message}"
        );
        metrics::gauge!("fuchsiabay_zone_drained", "zone" => zone.to_string()).set(if is_drained {
            1.0
        } else {
            0.0
        });
    }
}
