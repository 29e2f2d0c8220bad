//! Settings of the operator's command.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use fuchsiabay_base::InstanceId;
use serde::Deserialize;

use crate::{LoadError, problems::Problems, reader};

/// The settings of the operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CliSettings {
    /// The address of the log.
    pub log_url: String,
    /// The address of the instance list.
    #[serde(default)]
    pub list_url: Option<String>,
    /// What is added to the peer port of a listed instance to reach its operators' address. The list names only
    /// the peer address.
    #[serde(default = "default_ops_port_offset")]
    pub ops_port_offset: i32,
    /// The operators' addresses of instances that do not follow the offset.
    #[serde(default)]
    pub ops: BTreeMap<InstanceId, SocketAddr>,
}

/// The examples place the operators' address one port above the peer address.
pub(crate) const fn default_ops_port_offset() -> i32 {
    1
}

impl CliSettings {
    /// Builds the settings from addresses alone.
    pub fn new(log_url: impl Into<String>, list_url: Option<String>) -> Self {
        Self {
            log_url: log_url.into(),
            list_url,
            ops_port_offset: default_ops_port_offset(),
            ops: BTreeMap::new(),
        }
    }

    /// Loads and checks the settings in the file `path`.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, LoadError> {
        reader::load(path, Self::problems)
    }

    /// Reads and checks the settings in `text`. Faults name `file`.
    pub fn parse(file: &str, text: &[u8]) -> Result<Self, LoadError> {
        reader::parse(file, text, Self::problems)
    }

    /// Checks settings that were put together from arguments. The error names each argument that is at fault.
    pub fn validate(&self) -> Result<(), String> {
        let problems = self.problems();
        if problems.is_empty() {
            return Ok(());
        }
        let lines: Vec<_> = problems.iter().map(|(field, allowed)| format!("{field}: {allowed}")).collect();
        Err(lines.join("\n"))
    }

    /// Returns the operators' address of the instance `id` with the peer address `peer`, or None when the
    /// offset leads to no port.
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
