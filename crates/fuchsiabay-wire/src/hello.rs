//! The first frame that each side of a connection sends.

use fuchsiabay_base::{Generation, InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

/// The version of the protocol. Peers with different versions do not exchange messages, because a misinterpreted field
/// could turn one verdict into another.
pub const PROTOCOL_VERSION: u16 = 1;

/// The role of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry instance.
    Entry,
    /// The agent beside a backend server.
    Agent,
}

/// Introduces one side of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The sender's role.
    pub role: Role,
    /// The instance that sends the frame.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub generation: Generation,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// A random nonce, so that a recorded handshake cannot be replayed.
    #[serde(with = "hex_nonce")]
    pub nonce: u128,
}

mod hex_nonce {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(nonce: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{nonce:032x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
