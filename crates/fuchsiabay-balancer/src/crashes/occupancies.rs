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

/// The instance that told an occupancy. None for this instance.
type Source = Option<SocketAddr>;

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
        let by_source = self.0.get(fingerprint).into_iter().flat_map(BTreeMap::values);
        Occupancy::sum(by_source.map(|told| told.occupancy))
    }

    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        self.0.retain(|_, by_source| {
            by_source.retain(|_, told| told.until > now);
            !by_source.is_empty()
        });
    }
}
