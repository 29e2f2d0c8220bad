//! What instances tell each other of the occupancy of requests.

use std::{collections::BTreeMap, net::SocketAddr};

use fuchsiabay_base::{Fingerprint, Timestamp};
use serde::{Deserialize, Serialize};

use super::{Occupancy, crash::EXPIRY_MS};

/// The maximum number of requests of which one instance tells the others.
pub(super) const MAX_TOLD: usize = 64;

/// The occupancy of a request, as one instance knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestOccupancy {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The part of the servers that run it for this instance.
    pub occupancy: Occupancy,
}

/// Where an occupancy comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    /// This instance.
    Own,
    /// Another instance.
    Instance(SocketAddr),
    /// A record, which states the occupancy over all instances of the time at which it was written.
    Record,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    occupancy: Occupancy,
    until: Timestamp,
}

/// The highest occupancy that each instance told of each request while crashes under it count. Later ones are lower, because a
/// request that is refused does not run.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancies(BTreeMap<Fingerprint, BTreeMap<Source, Told>>);

impl Occupancies {
    /// Records what `source` told. Returns whether the occupancy of the request has risen.
    pub(super) fn record(&mut self, source: Source, told: RequestOccupancy, now: Timestamp) -> bool {
        if told.occupancy.is_zero() {
            return false;
        }
        let until = now.plus_millis(EXPIRY_MS);
        let by_source = self.0.entry(told.fingerprint).or_default();
        let known = by_source.entry(source).or_insert(Told { occupancy: Occupancy::default(), until });
        let has_risen = told.occupancy > known.occupancy;
        *known = Told { occupancy: known.occupancy.max(told.occupancy), until };
        has_risen
    }

    /// Returns the occupancy of a request over all instances.
    pub(super) fn total(&self, fingerprint: &Fingerprint) -> Occupancy {
        let Some(by_source) = self.0.get(fingerprint) else {
            return Occupancy::default();
        };
        let told = by_source.iter().filter(|(source, _)| **source != Source::Record);
        let recorded = by_source.get(&Source::Record).map_or(Occupancy::default(), |told| told.occupancy);
        Occupancy::sum(told.map(|(_, told)| told.occupancy)).max(recorded)
    }

    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        self.0.retain(|_, by_source| {
            by_source.retain(|_, told| told.until > now);
            !by_source.is_empty()
        });
    }
}
