//! Checks of workspaces and their API keys.

use std::collections::{HashMap, HashSet};

use super::Finding;
use crate::{ServingConfig, Workspace};

pub(super) fn findings(config: &ServingConfig) -> Vec<Finding> {
    let Some(workspaces) = &config.workspaces else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    let mut owners: HashMap<&str, &Workspace> = HashMap::new();
    let mut names = HashSet::new();
    for workspace in workspaces {
        let place = format!("workspaces.{}", workspace.name);
        if !names.insert(&workspace.name) {
            findings.push(Finding::warning(&place, "another workspace has the same name"));
        }
        if workspace.api_keys.iter().all(|key| key.trim().is_empty()) {
            findings.push(Finding::warning(&place, "never matches: it has no API key"));
        }
        for key in &workspace.api_keys {
            match owners.insert(key, workspace) {
                Some(other) if other.name != workspace.name => findings.push(Finding::error(
                    &place,
                    format!("shares an API key with workspace {:?}, which loses it", other.name.as_str()),
                )),
                Some(_) => findings.push(Finding::warning(&place, "states an API key twice")),
                None => {}
            }
        }
    }
    let has_key = owners.keys().any(|key| !key.trim().is_empty());
    if !has_key && !config.routes.iter().any(|route| route.public) {
        findings.push(Finding::error(
            "workspaces",
            "refuses every request: there is no API key and no public route",
        ));
    }
    findings
}
