//! One entry instance and the state that it holds.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_balancer::{
    CallerLimits, ConfigSlot, Directory, DirectoryEntry, Freshness, IndexedConfig, Neighbours, ServingConfig,
    SharedState, StateMark, StorePosition,
};
use fuchsiabay_base::Timestamp;

/// The response of an instance to the call of a neighbour.
pub(crate) struct ExchangeResponse {
    version: u64,
    config_age_ms: Option<u64>,
    mark: StateMark,
    changes: Vec<DirectoryEntry>,
    directory_age_ms: Option<u64>,
    store_epoch: Option<u64>,
}

/// A request to which the store has not responded yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreRequest {
    pub(crate) sent_at_ms: u64,
}

/// An entry instance.
pub(crate) struct NeighbourInstance {
    pub(crate) addr: SocketAddr,
    pub(crate) neighbours: Neighbours,
    pub(crate) freshness: Freshness,
    pub(crate) serving: ConfigSlot,
    pub(crate) directory: Directory,
    source: u64,
    pub(crate) is_alive: bool,
    /// Until when the instance is down or frozen.
    pub(crate) unavailable_until_ms: u64,
    /// Since when the instance has been up and not frozen.
    pub(crate) up_since_ms: u64,
    /// Until when the store does not respond to the instance.
    pub(crate) store_unreachable_until_ms: u64,
    pub(crate) config_request: Option<StoreRequest>,
    pub(crate) directory_request: Option<StoreRequest>,
    pub(crate) next_config_request_ms: u64,
    pub(crate) next_directory_request_ms: u64,
    pub(crate) next_round_ms: u64,
    /// The position up to which the store's change log was read, and when.
    pub(crate) read_to: Option<(StorePosition, u64)>,
    /// Whether the last request for the directory has failed.
    pub(crate) directory_request_failed: bool,
}

impl NeighbourInstance {
    pub(crate) fn start(addr: SocketAddr, members: &[SocketAddr], source: u64, now_ms: u64) -> Self {
        let mut neighbours = Neighbours::new(addr);
        neighbours.set_members(members, members.len(), Timestamp::from_millis(now_ms));
        Self {
            addr,
            neighbours,
            freshness: Freshness::default(),
            serving: ConfigSlot::default(),
            directory: Directory::default(),
            source,
            is_alive: true,
            unavailable_until_ms: 0,
            up_since_ms: now_ms,
            store_unreachable_until_ms: 0,
            config_request: None,
            directory_request: None,
            next_config_request_ms: now_ms,
            next_directory_request_ms: now_ms,
            next_round_ms: now_ms,
            read_to: None,
            directory_request_failed: false,
        }
    }

    pub(crate) fn is_unavailable(&self, now_ms: u64) -> bool {
        self.unavailable_until_ms > now_ms
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.directory.expire(now);
        if self.directory.take_recheck(now) {
            self.neighbours.clear_marks();
        }
    }

    pub(crate) fn is_stale(&self, now: Timestamp) -> bool {
        let is_unconfirmed = |state| !self.freshness.is_fresh(state, now);
        self.serving.version() == 0
            || is_unconfirmed(SharedState::Config)
            || is_unconfirmed(SharedState::Directory)
    }

    /// Applies a version of the configuration. Returns the versions before and after.
    pub(crate) fn apply_config(&mut self, version: u64) -> (u64, u64) {
        let before = self.serving.version();
        let config = ServingConfig {
            version,
            routes: Vec::new(),
            services: [].into(),
            cold_starts: [].into(),
            limits: CallerLimits::default(),
            workspaces: None,
        };
        self.serving.replace_if_newer(Arc::new(IndexedConfig::new(config)));
        (before, self.serving.version())
    }

    /// Returns the response to a neighbour that has received this directory up to `mark`.
    pub(crate) fn respond(&self, mark: Option<StateMark>, now: Timestamp) -> ExchangeResponse {
        let since = mark.filter(|mark| mark.source == self.source).map_or(0, |mark| mark.revision);
        ExchangeResponse {
            version: self.serving.version(),
            config_age_ms: self.freshness.age_ms(SharedState::Config, now),
            mark: StateMark { source: self.source, revision: self.directory.revision() },
            changes: self.directory.changes_since(since, now),
            directory_age_ms: self.freshness.age_ms(SharedState::Directory, now),
            store_epoch: self.directory.epoch(),
        }
    }

    /// Applies the response of the neighbour at `addr`. Returns the configuration versions before and after.
    pub(crate) fn apply_response(
        &mut self,
        addr: SocketAddr,
        response: ExchangeResponse,
        now: Timestamp,
    ) -> (u64, u64) {
        self.neighbours.record_exchange(addr, response.version, HashMap::new(), now);
        let versions = if response.version > 0 { self.apply_config(response.version) } else { (0, 0) };
        if let Some(epoch) = response.store_epoch {
            self.directory.record_epoch(epoch, now);
        }
        for entry in response.changes {
            self.directory.merge(entry, now);
        }
        self.neighbours.set_mark(addr, response.mark);
        for (state, age_ms) in [
            (SharedState::Config, response.config_age_ms),
            (SharedState::Directory, response.directory_age_ms),
        ] {
            if let Some(age_ms) = age_ms {
                self.freshness.confirm(state, now, age_ms);
            }
        }
        versions
    }
}
