//! The demand of the neighbours.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::{ServiceName, Timestamp};

use super::{Neighbours, table::LOADS_LIFETIME_MS};
use crate::{DemandReport, ReportedDemand};

/// What one neighbour reported about its demand for each service.
#[derive(Clone, Debug)]
pub(super) struct NeighbourDemand {
    until: Timestamp,
    reports: HashMap<ServiceName, DemandReport>,
}

impl Neighbours {
    /// Stores what the instance at `addr` reported about its demand. None from an instance of an earlier version.
    pub fn record_demand(
        &mut self,
        addr: SocketAddr,
        reports: Option<HashMap<ServiceName, DemandReport>>,
        now: Timestamp,
    ) {
        let until = now.plus_millis(LOADS_LIFETIME_MS);
        let demand = reports.map(|reports| NeighbourDemand { until, reports });
        self.neighbours.entry(addr).or_default().demand = demand;
    }

    /// Returns the demand of all neighbours for `service`, as far as it was reported recently.
    pub fn demand(&self, service: &ServiceName, now: Timestamp) -> ReportedDemand {
        let mut sum = ReportedDemand::default();
        let demands = self.neighbours.values().filter_map(|neighbour| neighbour.demand.as_ref());
        for demand in demands.filter(|demand| demand.until > now) {
            sum.add(demand.reports.get(service), demand.until);
        }
        sum
    }
}
