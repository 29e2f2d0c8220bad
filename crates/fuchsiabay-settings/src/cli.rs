//! Settings of the operator CLI.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use fuchsiabay_base::InstanceId;
use serde::Deserialize;

use crate::{LoadError, problems::Problems, reader};

/// The settings of the operator CLI.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CliSettings {
    /// The URL of the log.
    pub log_url: String,
    /// The URL of the instance list.
    #[serde(default)]
    pub list_url: Option<String>,
    /// The offset from the peer port of a listed instance to its ops port. The list contains only the peer address.
    #[serde(default = "default_ops_port_offset")]
    pub ops_port_offset: i32,
    /// The ops addresses of instances whose ops port is not at the offset.
    #[serde(default)]
    pub ops: BTreeMap<InstanceId, SocketAddr>,
}

/// In the examples, the ops port is the one after the peer port.
pub(crate) const fn default_ops_port_offset() -> i32 {
    1
}

impl CliSettings {
    /// Creates the settings from URLs, with defaults for everything else.
    pub fn new(log_url: impl Into<String>, list_url: Option<String>) -> Self {
        Self {
            log_url: log_url.into(),
            list_url,
            ops_port_offset: default_ops_port_offset(),
            ops: BTreeMap::new(),
        }
    }

    /// Loads and validates the settings in the file `path`.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, LoadError> {
        reader::load(path, Self::problems)
    }

    /// Parses and validates the settings in `text`. Diagnostics refer to the file as `file`.
    pub fn parse(file: &str, text: &[u8]) -> Result<Self, LoadError> {
        reader::parse(file, text, Self::problems)
    }

    /// Validates settings that come from command-line arguments. The error names each invalid field.
    pub fn validate(&self) -> Result<(), String> {
        let problems = self.problems();
        if problems.is_empty() {
            return Ok(());
        }
        let lines: Vec<_> = problems.iter().map(|(field, allowed)| format!("{field}: {allowed}")).collect();
        Err(lines.join("\n"))
    }

    /// Returns the ops address of the instance `id` with the peer address `peer`, or `None` if the offset gives no
    /// valid port.
    pub fn ops_addr(&self, id: &InstanceId, peer: SocketAddr) -> Option<SocketAddr> {
        if let Some(addr) = self.ops.get(id) {
            return Some(*addr);
        }
        let port = u16::try_from(i32::from(peer.port()).checked_add(self.ops_port_offset)?).ok()?;
        Some(SocketAddr::new(peer.ip(), port))
    }

    fn problems(&self) -> Vec<(String, String)> {
        let mut problems = Problems::default();
        problems.url(&self.log_url, "log_url");
        if let Some(url) = &self.list_url {
            problems.url(url, "list_url");
        }
        problems.range(self.ops_port_offset, -65_535..=65_535, "ops_port_offset", "ports");
        problems.into_pairs()
    }
}
