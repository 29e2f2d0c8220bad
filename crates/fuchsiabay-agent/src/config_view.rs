//! The agent's view of the configuration.

use fuchsiabay_base::{Timestamp, WorkspaceId};
use fuchsiabay_config::Preset;
use fuchsiabay_follow::ConfigFollower;
use serde_json::Value;

/// The parts of the configuration that the agent uses.
pub trait ConfigView: Send + Sync + 'static {
    /// Returns whether a configuration is known and confirmed to be current.
    fn is_fresh(&self, now: Timestamp) -> bool;

    /// Returns the preset in force, if one is known.
    fn preset(&self) -> Option<Preset>;

    /// Returns the fair-share weight of a workspace.
    fn weight(&self, workspace: &WorkspaceId) -> u32;

    /// Returns the state of the configuration for the dump.
    fn dump(&self, now: Timestamp) -> Value;
}

impl ConfigView for ConfigFollower {
    fn is_fresh(&self, now: Timestamp) -> bool {
        self.in_force_if_fresh(now).is_some()
    }

    fn preset(&self) -> Option<Preset> {
        Some(self.in_force()?.preset.clone())
    }

    fn weight(&self, workspace: &WorkspaceId) -> u32 {
        let config = self.in_force();
        let found = config.as_ref().and_then(|config| config.document.workspaces.get(workspace));
        found.map_or(1, |workspace| workspace.weight)
    }

    fn dump(&self, now: Timestamp) -> Value {
        ConfigFollower::dump(self, now)
    }
}
