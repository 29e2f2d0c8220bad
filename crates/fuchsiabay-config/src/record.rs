//! Records of the log stream `config`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Document, VersionedConfig};

/// Identifies a publish or preset switch, so that the author of an append with an unknown result finds it in the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct PublishId(String);

impl PublishId {
    /// Wraps the text of an id, which the author draws at random.
    pub fn new(id: impl Into<String>) -> Self {
        Self(id.into())
    }

    /// Returns the text of the id.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A record of the stream `config`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// Proposes a document.
    Publish {
        /// Identifies the proposal.
        publish: PublishId,
        /// The version that the author saw. Zero if there was none.
        based_on: u64,
        /// The unparsed document, so that every reducer rejects an invalid document instead of ignoring the record.
        document: Value,
    },
    /// Proposes another preset of the document in force.
    PresetSwitch {
        /// Identifies the proposal.
        publish: PublishId,
        /// The version that the author saw.
        based_on: u64,
        /// The name of the preset.
        preset: String,
    },
    /// Records the reduced state again before retention drops the records that it results from.
    Snapshot {
        /// The state. `None` while no change was accepted.
        state: Option<Box<VersionedConfig>>,
        /// The offset of the last record that the state covers.
        as_of: u64,
    },
}

impl ConfigRecord {
    /// Creates a proposal of `document`.
    pub fn publish(publish: PublishId, based_on: u64, document: &Document) -> Self {
        let document = serde_json::to_value(document).unwrap_or_default();
        Self::Publish { publish, based_on, document }
    }

    /// Returns the id of a proposal. `None` for a snapshot.
    pub fn publish_id(&self) -> Option<&PublishId> {
        match self {
            Self::Publish { publish, .. } | Self::PresetSwitch { publish, .. } => Some(publish),
            Self::Snapshot { .. } => None,
        }
    }
}
