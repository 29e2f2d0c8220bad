//! The configuration document that operators publish.

use std::collections::BTreeMap;

use fuchsiabay_base::{ServiceName, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::{Preset, Problem, Route, Service, ServiceKind, Workspace};

/// The configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes of plain services. The first matching route serves a call.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The workspaces by name. Calls from other workspaces are refused.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// The presets by name.
    pub presets: BTreeMap<String, Preset>,
    /// The preset in force after the first publish, and after a publish that removes the preset in force.
    pub initial_preset: String,
}

impl Document {
    /// Returns every problem of the document. Empty if the document may be published.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if self.services.is_empty() {
            problems.push(Problem::new("services", "at least one service is required"));
        }
        for (index, route) in self.routes.iter().enumerate() {
            self.check_route(index, route, &mut problems);
        }
        for (name, workspace) in &self.workspaces {
            if workspace.weight == 0 {
                problems.push(Problem::new(format!("workspaces.{name}.weight"), "allowed: 1 or more"));
            }
        }
        for (name, preset) in &self.presets {
            preset.check(&format!("presets.{name}"), &mut problems);
        }
        if !self.presets.contains_key(&self.initial_preset) {
            problems.push(Problem::new("initial_preset", "allowed: the name of a preset of this document"));
        }
        problems
    }

    /// Returns the route that serves `method` and `path`.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(method, path))
    }

    fn check_route(&self, index: usize, route: &Route, problems: &mut Vec<Problem>) {
        if !matches!(route.method.as_str(), "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE") {
            problems.push(Problem::new(
                format!("routes[{index}].method"),
                "allowed: GET, HEAD, POST, PUT, PATCH or DELETE",
            ));
        }
        if !route.path.starts_with('/') || route.path.starts_with("/v1/") {
            problems.push(Problem::new(
                format!("routes[{index}].path"),
                "allowed: a path that starts with / and not with /v1/",
            ));
        }
        if self.services.get(&route.service).is_none_or(|service| service.kind != ServiceKind::Plain) {
            problems.push(Problem::new(
                format!("routes[{index}].service"),
                "allowed: the name of a plain service of this document",
            ));
        }
        if route.default_deadline_ms.0 == 0 {
            problems
                .push(Problem::new(format!("routes[{index}].default_deadline_ms"), "allowed: 1 ms or more"));
        }
    }
}
