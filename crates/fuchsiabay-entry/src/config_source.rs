//! The source of the configuration of an entry instance.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_config::VersionedConfig;
use fuchsiabay_follow::ConfigFollower;
use fuchsiabay_wire::{ConfigPullReply, ConfigPullRequest};
use serde_json::Value;

/// Provides the configuration in force. Tests use a fixed configuration.
pub(crate) trait ConfigSource: Send + Sync + 'static {
    /// Returns the configuration in force, whether or not it is confirmed to be current.
    fn in_force(&self) -> Option<Arc<VersionedConfig>>;

    /// Returns whether the configuration is confirmed to be current.
    fn is_fresh(&self, now: Timestamp) -> bool;

    /// Replies to a `config_pull` of another instance.
    fn reply(&self, req: &ConfigPullRequest, now: Timestamp) -> ConfigPullReply;

    /// Returns the state of the source for the dump.
    fn dump(&self, now: Timestamp) -> Value;
}

impl ConfigSource for Arc<ConfigFollower> {
    fn in_force(&self) -> Option<Arc<VersionedConfig>> {
        ConfigFollower::in_force(self)
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        ConfigFollower::is_fresh(self, now)
    }

    fn reply(&self, req: &ConfigPullRequest, now: Timestamp) -> ConfigPullReply {
        ConfigFollower::reply(self, req, now)
    }

    fn dump(&self, now: Timestamp) -> Value {
        ConfigFollower::dump(self, now)
    }
}
