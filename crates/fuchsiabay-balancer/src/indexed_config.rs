//! The configuration in force.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::{ServiceName, is_mechanism_enabled};

use crate::{CallerLimits, EngineProfile, Route, RouteTable, ServingConfig, Workspace};

/// A configuration with the indexes that requests need. A request is served under one value from start to end.
#[derive(Debug)]
pub struct IndexedConfig {
    config: ServingConfig,
    table: RouteTable,
    keys: Option<HashMap<String, Arc<Workspace>>>,
}

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCheck {
    /// The request needs no key.
    Open,
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// The key is missing or unknown.
    Unknown,
}

impl IndexedConfig {
    /// Indexes `config`.
    pub fn new(config: ServingConfig) -> Self {
        let table = RouteTable::new(&config.routes);
        let keys = config.workspaces.as_deref().map(index_keys);
        Self { config, table, keys }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.config.limits
    }

    /// Returns the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.table.find(host, path)
    }

    /// Returns the profile of a service's engines.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineProfile> {
        self.config.services.get(service)?.as_ref()
    }

    /// Returns the shortest goal for the time between two events among the routes to a service, in milliseconds.
    pub fn gap_goal_ms(&self, service: &ServiceName) -> Option<u64> {
        let leads_there = |route: &&Route| route.targets.iter().any(|target| target.service == *service);
        self.config.routes.iter().filter(leads_there).filter_map(|route| route.gap_goal_ms).min()
    }

    /// Returns whose request to `route` it is that carries `key`.
    pub fn check_key(&self, route: &Route, key: Option<&str>) -> KeyCheck {
        let Some(keys) = &self.keys else {
            return KeyCheck::Open;
        };
        match key.and_then(|key| keys.get(key)) {
            Some(workspace) => KeyCheck::Workspace(workspace.clone()),
            None if route.public => KeyCheck::Open,
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

/// Holds the configuration in force. It only moves to higher versions.
#[derive(Debug, Default)]
pub struct ConfigSlot(Option<Arc<IndexedConfig>>);

impl ConfigSlot {
    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<IndexedConfig>> {
        self.0.as_ref()
    }

    /// Returns the version in force, or 0 for none.
    pub fn version(&self) -> u64 {
        self.0.as_ref().map_or(0, |serving| serving.version())
    }

    /// Puts `serving` in force unless its version is not higher. Returns whether it is in force now.
    pub fn replace_if_newer(&mut self, serving: Arc<IndexedConfig>) -> bool {
        if self.0.is_some() && serving.version() <= self.version() && is_mechanism_enabled("newest-config") {
            return false;
        }
        self.0 = Some(serving);
        true
    }
}
