//! What one instance reports about its demand for a service.

use std::collections::BTreeMap;

use fuchsiabay_base::WorkspaceId;
use serde::{Deserialize, Serialize};

/// The number of decimal digits of a usage that are sent. Shares are compared with a tolerance of a quarter.
const USAGE_DIGITS: u32 = 2;

/// The number of units in which a usage is sent, for each token or request. Requests to plain services count one.
const USAGE_SCALE: f64 = 10.0;

/// The demand of one instance for a service. Field names are short and zero values are left out, to keep the messages small.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandReport {
    /// The rate of arrivals that can be on time, in tenths per second.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    arrivals: u32,
    /// The number of waiting requests.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub waiting: u32,
    /// The number of waiting requests by priority whose workspaces are far below their share, while another one is above it.
    #[serde(rename = "b", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub below_share: BTreeMap<u8, u32>,
    /// The usage of the heaviest workspaces, in tenths of a token or request, rounded.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    usage: BTreeMap<WorkspaceId, u64>,
}

impl DemandReport {
    /// Creates a report. `usage` is in tokens, or in requests for plain services.
    pub fn new(
        arrivals_per_s: f64,
        waiting: u32,
        below_share: BTreeMap<u8, u32>,
        usage: impl IntoIterator<Item = (WorkspaceId, f64)>,
    ) -> Self {
        let usage = usage.into_iter().map(|(workspace, usage)| (workspace, rounded(usage * USAGE_SCALE)));
        Self {
            arrivals: (arrivals_per_s * 10.0).round() as u32,
            waiting,
            below_share,
            usage: usage.filter(|(_, usage)| *usage > 0).collect(),
        }
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the rate of arrivals that can be on time, per second.
    pub fn arrivals_per_s(&self) -> f64 {
        f64::from(self.arrivals) / 10.0
    }

    /// Returns the usage of the heaviest workspaces, in tokens or requests.
    pub fn usage(&self) -> impl Iterator<Item = (&WorkspaceId, f64)> {
        self.usage.iter().map(|(workspace, usage)| (workspace, *usage as f64 / USAGE_SCALE))
    }
}

const fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// Rounds to the digits that are sent.
fn rounded(usage: f64) -> u64 {
    let usage = usage.round() as u64;
    let excess = usage.checked_ilog10().unwrap_or(0).saturating_sub(USAGE_DIGITS - 1);
    let unit = 10_u64.pow(excess);
    usage.saturating_add(unit / 2) / unit * unit
}
