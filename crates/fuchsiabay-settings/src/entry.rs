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
    /// The name of the instance, as the instance list has it.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: String,
    /// Where it accepts callers.
    #[serde(deserialize_with = "reader::address")]
    pub listen: SocketAddr,
    /// Where it accepts peer connections.
    #[serde(deserialize_with = "reader::address")]
    pub peer_listen: SocketAddr,
    /// Where it serves operators.
    #[serde(deserialize_with = "reader::address")]
    pub ops_listen: SocketAddr,
    /// The address of the log.
    pub log_url: String,
    /// The time for which the log retains its records. Snapshots of the configuration are repeated within it.
    #[serde(default = "default_log_retention_ms")]
    pub log_retention_ms: u64,
    /// The address of the instance list.
    pub list_url: String,
    /// The key that all processes of the installation share.
    #[serde(deserialize_with = "key_text::deserialize")]
    pub shared_key: SharedKey,
    /// The number of threads that run its work.
    #[serde(default = "default_threads")]
    pub threads: u32,
    /// HttpLimits of what callers may send.
    #[serde(default)]
    pub limits: HttpLimits,
    /// What it logs.
    #[serde(default)]
    pub log: LoggingSettings,
}

/// Two threads keep one slow computation from holding up every connection, and cost little on a small instance.
pub(crate) const fn default_threads() -> u32 {
    2
}

/// The retention that the claims of an agent assume by default, too.
const fn default_log_retention_ms() -> u64 {
    3_600_000
}

impl EntrySettings {
    /// Loads and checks the settings in the file `path`.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, LoadError> {
        reader::load(path, Self::problems)
    }

    /// Reads and checks the settings in `text`. Faults name `file`.
    pub fn parse(file: &str, text: &[u8]) -> Result<Self, LoadError> {
        reader::parse(file, text, Self::problems)
    }

    fn problems(&self) -> Vec<(String, String)> {
        let mut problems = Problems::default();
        problems.name(self.instance.as_str(), "instance");
        problems.name(self.zone.as_str(), "zone");
        problems.name(&self.region, "region");
        problems.url(&self.log_url, "log_url");
        // A snapshot is repeated four times per retention, and each read and append takes seconds.
        problems.range(self.log_retention_ms, 60_000..=31_536_000_000, "log_retention_ms", "ms");
        problems.url(&self.list_url, "list_url");
        problems.range(self.threads, 1..=256, "threads", "threads");
        self.limits.check(&mut problems);
        problems.into_pairs()
    }
}
