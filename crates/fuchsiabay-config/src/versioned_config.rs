//! The reduced state of the configuration.

use serde::{Deserialize, Serialize};

use crate::{Document, Preset};

/// The configuration in force: one document and exactly one of its presets.
///
/// The version is the offset of the accepted record plus one, because zero means no configuration on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "Relayed", into = "Relayed")]
pub struct VersionedConfig {
    /// The version.
    pub version: u64,
    /// The document.
    pub document: Document,
    /// The name of the preset in force.
    pub preset_name: String,
    /// The preset in force.
    pub preset: Preset,
}

/// The serialized form. It omits the preset, which is looked up again so that it always belongs to the document.
#[derive(Clone)]
#[derive(Serialize, Deserialize)]
struct Relayed {
    version: u64,
    document: Document,
    preset_name: String,
}

impl VersionedConfig {
    /// Creates the state with `preset_name` of `document` in force. Returns `None` if the document has no such
    /// preset.
    pub fn new(version: u64, document: Document, preset_name: String) -> Option<Self> {
        let preset = document.presets.get(&preset_name)?.clone();
        Some(Self { version, document, preset_name, preset })
    }
}

impl TryFrom<Relayed> for VersionedConfig {
    type Error = &'static str;

    fn try_from(relayed: Relayed) -> Result<Self, Self::Error> {
        Self::new(relayed.version, relayed.document, relayed.preset_name)
            .ok_or("the document has no preset with the stated name")
    }
}

impl From<VersionedConfig> for Relayed {
    fn from(state: VersionedConfig) -> Self {
        Self { version: state.version, document: state.document, preset_name: state.preset_name }
    }
}
