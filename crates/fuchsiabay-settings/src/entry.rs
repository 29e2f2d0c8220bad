//! Settings of an entry instance.

use std::{net::SocketAddr, path::Path};

use fuchsiabay_base::{InstanceId, ZoneName};
use fuchsiabay_wire::SharedKey;
use serde::Deserialize;

use crate::{HttpLimits, LoadError, LoggingSettings, key_text, problems::Problems, reader};

/// The settings of an entry instance.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The id of the instance in the instance list.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: String,
    /// The address at which it accepts requests of callers.
    #[serde(deserialize_with = "reader::address")]
    pub listen: SocketAddr,
    /// The address at which it accepts peer connections.
    #[serde(deserialize_with = "reader::address")]
    pub peer_listen: SocketAddr,
    /// The address of its ops HTTP server.
    #[serde(deserialize_with = "reader::address")]
    pub ops_listen: SocketAddr,
    /// The URL of the log.
    pub log_url: String,
    /// The retention time of the log. Configuration snapshots are appended again within this time.
    #[serde(default = "default_log_retention_ms")]
    pub log_retention_ms: u64,
    /// The URL of the instance list.
    pub list_url: String,
    /// The key that all processes of a deployment share.
    #[serde(deserialize_with = "key_text::deserialize")]
    pub shared_key: SharedKey,
    /// The number of threads of the executor.
    #[serde(default = "default_threads")]
    pub threads: u32,
    /// The limits on callers.
    #[serde(default)]
    pub limits: HttpLimits,
    /// The logging settings.
    #[serde(default)]
    pub log: LoggingSettings,
}

/// With two threads, one slow computation does not block every connection, at little cost on a small instance.
pub(crate) const fn default_threads() -> u32 {
    2
}

/// The same value as the default of [`crate::ClaimSettings::retention_ms`].
const fn default_log_retention_ms() -> u64 {
    3_600_000
}

impl EntrySettings {
    /// Loads and validates the settings in the file `path`.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, LoadError> {
        reader::load(path, Self::problems)
    }

    /// Parses and validates the settings in `text`. Diagnostics refer to the file as `file`.
    pub fn parse(file: &str, text: &[u8]) -> Result<Self, LoadError> {
        reader::parse(file, text, Self::problems)
    }

    fn problems(&self) -> Vec<(String, String)> {
        let mut problems = Problems::default();
        problems.name(self.instance.as_str(), "instance");
        problems.name(self.zone.as_str(), "zone");
        problems.name(&self.region, "region");
        problems.url(&self.log_url, "log_url");
        // A snapshot is appended four times per retention time, and each read and append takes seconds.
        problems.range(self.log_retention_ms, 60_000..=31_536_000_000, "log_retention_ms", "ms");
        problems.url(&self.list_url, "list_url");
        problems.range(self.threads, 1..=256, "threads", "threads");
        self.limits.check(&mut problems);
        problems.into_pairs()
    }
}
