//! Decides whether requests may be sent to cold servers.

use fuchsiabay_base::{InstanceId, Timestamp};
use serde::Serialize;

use super::{
    ColdReason, ColdStartLimits, ColdStarts, FIRST_SENDS_MS, SHARE_WINDOW_MS, cold_server::ColdServer,
};

/// The cold state of a server, for state dumps.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct ColdStatus {
    /// Until when the server counts as cold.
    pub until: Timestamp,
    /// Why it counts as cold.
    pub reason: ColdReason,
    /// The number of requests that this instance may send to it in 1.1 s.
    pub share: usize,
    /// The number of slots that were granted in the last 1.1 s.
    pub granted: usize,
}

impl ColdStarts {
    /// Returns whether a slot for a request to the server may be granted now.
    pub(crate) fn allows(&self, server: &InstanceId, now: Timestamp) -> bool {
        let Some((limits, cold, since)) = self.cold(server, now) else {
            return true;
        };
        let (rank, instances) = (cold.rank.rank as u64, cold.rank.instances.max(1) as u64);
        let first_at = since.plus_millis(FIRST_SENDS_MS * rank / instances);
        now >= first_at && cold.window.count(now) < self.share(cold, limits, now)
    }

    /// Returns whether servers can be cold at all.
    pub(crate) fn has_limits(&self) -> bool {
        self.limits.is_some()
    }

    /// Returns whether the server is cold.
    pub(crate) fn is_cold(&self, server: &InstanceId, now: Timestamp) -> bool {
        self.cold(server, now).is_some()
    }

    /// Returns the rate at which this instance may send requests to the server if it is cold, per second.
    pub(crate) fn rate_per_s(&self, server: &InstanceId, now: Timestamp) -> f64 {
        self.cold(server, now).map_or(0.0, |(limits, cold, _)| {
            self.share(cold, limits, now) as f64 * 1_000.0 / SHARE_WINDOW_MS as f64
        })
    }

    /// Returns the status of the server. None if it is not cold.
    pub(crate) fn status(&self, server: &InstanceId, now: Timestamp) -> Option<ColdStatus> {
        let (limits, cold, _) = self.cold(server, now)?;
        let (_, until, reason) = cold.span(limits.start_ms, now)?;
        let (share, granted) = (self.share(cold, limits, now), cold.window.count(now));
        Some(ColdStatus { until, reason, share, granted })
    }

    /// Returns the state of the server with the limits, and since when it has been cold. None if it is not cold.
    pub(super) fn cold(
        &self,
        server: &InstanceId,
        now: Timestamp,
    ) -> Option<(&ColdStartLimits, &ColdServer, Timestamp)> {
        let limits = self.limits.as_ref()?;
        let cold = self.by_server.get(server)?;
        let (since, ..) = cold.span(limits.start_ms, now)?;
        Some((limits, cold, since))
    }

    /// Returns the number of requests that this instance may send to the server in a window. In its first window, an instance does
    /// not know what it sent before it restarted.
    pub(super) fn share(&self, cold: &ColdServer, limits: &ColdStartLimits, now: Timestamp) -> usize {
        let is_first_window = self.first_listed_at.is_none_or(|at| now.millis_since(at) < SHARE_WINDOW_MS);
        limits.share(cold.rank, is_first_window)
    }
}
