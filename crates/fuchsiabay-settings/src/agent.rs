//! Settings of an agent.

use std::{net::SocketAddr, path::Path};

use fuchsiabay_base::{InstanceId, ZoneName};
use fuchsiabay_wire::SharedKey;
use serde::Deserialize;

use crate::{
    BackendSettings, ClaimSettings, LoadError, LoggingSettings, entry::default_threads, key_text,
    problems::Problems, reader,
};

/// The settings of an agent, which runs next to a backend server.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The id of the instance in the instance list.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: String,
    /// The address at which it accepts peer connections.
    #[serde(deserialize_with = "reader::address")]
    pub peer_listen: SocketAddr,
    /// The address of its ops HTTP server.
    #[serde(deserialize_with = "reader::address")]
    pub ops_listen: SocketAddr,
    /// The backend server.
    pub backend: BackendSettings,
    /// The URL of the log.
    pub log_url: String,
    /// The URL of the instance list.
    pub list_url: String,
    /// The key that all processes of a deployment share.
    #[serde(deserialize_with = "key_text::deserialize")]
    pub shared_key: SharedKey,
    /// The number of threads of the executor.
    #[serde(default = "default_threads")]
    pub threads: u32,
    /// How long an idempotency key is valid for claiming a call.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// The logging settings.
    #[serde(default)]
    pub log: LoggingSettings,
}

impl AgentSettings {
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
        self.backend.check(&mut problems);
        problems.url(&self.log_url, "log_url");
        problems.url(&self.list_url, "list_url");
        problems.range(self.threads, 1..=256, "threads", "threads");
        self.claims.check(&mut problems);
        problems.into_pairs()
    }
}
