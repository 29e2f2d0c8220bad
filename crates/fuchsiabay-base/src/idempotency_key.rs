//! Idempotency keys that contain their issue time.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use uuid::Uuid;

use crate::Timestamp;

/// The `Idempotency-Key` of a caller: a UUID version 7.
///
/// Version 7 is required because it contains its issue time. A key that is older than the retention period of the log
/// must be refused, since the record of an earlier execution may have been dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct IdempotencyKey(Uuid);

/// The error for a string that is not a UUID version 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the idempotency key must be a UUID version 7 (RFC 9562)")]
pub struct InvalidKey;

impl IdempotencyKey {
    /// Builds a key from its issue time and 74 bits of `random`; the other bits are ignored.
    pub fn from_parts(issued_at: Timestamp, random: u128) -> Self {
        let bytes = random.to_le_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[..10]);
        Self(uuid::Builder::from_unix_timestamp_millis(issued_at.as_millis(), &tail).into_uuid())
    }

    /// Returns the time at which the caller issued the key, since the Unix epoch.
    pub fn issued_at(&self) -> Timestamp {
        let bits = self.0.as_u128() >> 80;
        Timestamp::from_millis(bits as u64)
    }
}

impl FromStr for IdempotencyKey {
    type Err = InvalidKey;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::try_parse(s).map_err(|_| InvalidKey)?;
        if uuid.get_version_num() != 7 || uuid.get_variant() != uuid::Variant::RFC4122 {
            return Err(InvalidKey);
        }
        Ok(Self(uuid))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0.hyphenated(), f)
    }
}
