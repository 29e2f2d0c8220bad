//! What differs between two configurations.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::Value;

use crate::{ServingConfig, Workspace};

/// A difference between two configurations. API keys are counted, not shown.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ConfigChange {
    /// The entry, such as `routes.chat.timeout_ms`.
    pub place: String,
    /// The value in force, if the entry is in force.
    pub from: Option<String>,
    /// The new value, unless the entry is removed.
    pub to: Option<String>,
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "changed: {}: {from} -> {to}", self.place),
            (None, Some(to)) => write!(f, "added: {}: {to}", self.place),
            (Some(from), None) => write!(f, "removed: {}: {from}", self.place),
            (None, None) => write!(f, "unchanged: {}", self.place),
        }
    }
}

/// Returns the differences in the order of their places.
pub(super) fn changes(old: &ServingConfig, new: &ServingConfig) -> Vec<ConfigChange> {
    let (old, new) = (flatten(old), flatten(new));
    let mut places: Vec<&String> = old.keys().chain(new.keys()).collect();
    places.sort_unstable();
    places.dedup();
    let change = |place: &String| {
        let (from, to) = (old.get(place).cloned(), new.get(place).cloned());
        (from != to).then(|| ConfigChange { place: place.clone(), from, to })
    };
    places.into_iter().filter_map(change).collect()
}

/// Returns the entries of a configuration with their values.
fn flatten(config: &ServingConfig) -> BTreeMap<String, String> {
    let mut entries = BTreeMap::new();
    entries.insert("version".to_owned(), config.version.to_string());
    for route in &config.routes {
        add_fields(&mut entries, &format!("routes.{}", route.name), serde_json::to_value(route));
    }
    for (service, engine) in &config.services {
        let place = format!("services.{service}");
        entries.insert(place.clone(), if engine.is_some() { "model engines" } else { "plain" }.to_owned());
        add_fields(&mut entries, &place, serde_json::to_value(engine));
    }
    for (service, cold_start) in &config.cold_starts {
        add_fields(&mut entries, &format!("services.{service}"), serde_json::to_value(cold_start));
    }
    add_fields(&mut entries, "limits", serde_json::to_value(config.limits));
    for workspace in config.workspaces.iter().flatten() {
        add_workspace(&mut entries, workspace);
    }
    entries
}

fn add_fields(entries: &mut BTreeMap<String, String>, place: &str, value: serde_json::Result<Value>) {
    // The types of a configuration have only string keys and can always be represented.
    let Ok(Value::Object(fields)) = value else {
        return;
    };
    for (field, value) in fields.into_iter().filter(|(_, value)| !value.is_null()) {
        entries.insert(format!("{place}.{field}"), value.to_string());
    }
}

fn add_workspace(entries: &mut BTreeMap<String, String>, workspace: &Workspace) {
    let place = format!("workspaces.{}", workspace.name);
    if let Some(priority) = workspace.priority {
        entries.insert(format!("{place}.priority"), priority.to_string());
    }
    entries.insert(format!("{place}.api_keys"), key_summary(&workspace.api_keys));
}

/// Returns the number of the keys with a digest, which changes if a key is replaced.
fn key_summary(keys: &[String]) -> String {
    let mut sorted: Vec<&str> = keys.iter().map(String::as_str).collect();
    sorted.sort_unstable();
    let digest = xxhash_rust::xxh3::xxh3_64(sorted.join("\n").as_bytes());
    format!("{} keys, digest {digest:016x}", keys.len())
}
