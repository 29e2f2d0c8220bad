//! Content fingerprints of requests.

use std::fmt;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::Xxh3;

/// A 128-bit content hash of a request: its workspace, route and body.
///
/// It identifies a request that is sent again, regardless of the connection or entry instance that receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Hashes the parts of a request. The length of each part is hashed too, so that moving bytes between parts changes
    /// the hash.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// Returns the lowest 32 bits, for digests that must be short and need not be unique for long.
    pub const fn low_bits(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(s, 16).map(Self)
    }
}
