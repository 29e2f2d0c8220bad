//! Route lookup.

use std::{collections::HashMap, sync::Arc};

use crate::Route;

/// The routes by host, longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table for `routes`.
    pub fn new(routes: &[Route]) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route of `host` with the longest prefix of `path`. `host` may contain a port, which is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }
}
