//! The indexed configuration and the slot for the one in force.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::{ServiceName, is_mechanism_enabled};

use crate::{CallerLimits, ColdStart, EngineProfile, Route, RouteTable, ServingConfig, Workspace};

/// A configuration with indexes for request handling. A request uses the same configuration from start to end.
#[derive(Debug)]
pub struct IndexedConfig {
    config: ServingConfig,
    table: RouteTable,
    keys: Option<HashMap<String, Arc<Workspace>>>,
}

/// The result of checking a request's API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCheck {
    /// The request needs no key.
    NotRequired,
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// The key is missing or unknown.
    Unknown,
}

impl IndexedConfig {
    /// Builds the indexes of `config`.
    pub fn new(config: ServingConfig) -> Self {
        let table = RouteTable::new(&config.routes);
        let keys = config.workspaces.as_deref().map(index_keys);
        Self { config, table, keys }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.config.limits
    }

    /// Returns the route for a request to `host` and `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.table.find(host, path)
    }

    /// Returns the engine profile of a service, if it has one.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineProfile> {
        self.config.services.get(service)?.as_ref()
    }

    /// Returns what the configuration states about cold servers of a service, if anything.
    pub fn cold_start(&self, service: &ServiceName) -> Option<&ColdStart> {
        self.config.cold_starts.get(service)
    }

    /// Returns the smallest `gap_goal_ms` of the routes to a service. `None` if no route has one.
    pub fn gap_goal_ms(&self, service: &ServiceName) -> Option<u64> {
        let targets_service = |route: &&Route| route.targets.iter().any(|target| target.service == *service);
        self.config.routes.iter().filter(targets_service).filter_map(|route| route.gap_goal_ms).min()
    }

    /// Returns whether the configuration has workspaces.
    pub fn has_workspaces(&self) -> bool {
        self.config.workspaces.as_ref().is_some_and(|workspaces| !workspaces.is_empty())
    }

    /// Checks the key of a request to `route`.
    pub fn check_key(&self, route: &Route, key: Option<&str>) -> KeyCheck {
        let Some(keys) = &self.keys else {
            return KeyCheck::NotRequired;
        };
        match key.and_then(|key| keys.get(key)) {
            Some(workspace) => KeyCheck::Workspace(workspace.clone()),
            None if route.public => KeyCheck::NotRequired,
            None => KeyCheck::Unknown,
        }
    }
}

fn index_keys(workspaces: &[Workspace]) -> HashMap<String, Arc<Workspace>> {
    let mut keys = HashMap::new();
    for workspace in workspaces {
        let shared = Arc::new(workspace.clone());
        for key in &workspace.api_keys {
            keys.insert(key.clone(), shared.clone());
        }
    }
    keys
}

/// Holds the configuration in force. It is only replaced by a higher version.
#[derive(Debug, Default)]
pub struct ConfigSlot(Option<Arc<IndexedConfig>>);

impl ConfigSlot {
    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&Arc<IndexedConfig>> {
        self.0.as_ref()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.0.as_ref().map_or(0, |config| config.version())
    }

    /// Puts `config` in force if its version is higher than the one in force. Returns whether it did.
    pub fn replace_if_newer(&mut self, config: Arc<IndexedConfig>) -> bool {
        if self.0.is_some() && config.version() <= self.version() && is_mechanism_enabled("newest-config") {
            return false;
        }
        self.0 = Some(config);
        true
    }
}
