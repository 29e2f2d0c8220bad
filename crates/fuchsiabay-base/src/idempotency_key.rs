//! Idempotency keys that carry their issue time.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use uuid::Uuid;

use crate::Timestamp;

/// The `Idempotency-Key` of a caller: a UUID version 7.
///
/// Version 7 is required because it carries its issue time. A key that is older than the retention of the log
/// must be refused, since the record of an earlier run may be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct IdempotencyKey(Uuid);

/// The error for a text that is not a UUID version 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the idempotency key must be a UUID version 7 (RFC 9562)")]
pub struct InvalidKey;

impl IdempotencyKey {
    /// Builds a key from its issue time and 74 random bits, of which the excess is dropped.
    pub fn from_parts(issued_at: Timestamp, random: u128) -> Self {
        let bytes = random.to_le_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[..10]);
        Self(uuid::Builder::from_unix_timestamp_millis(issued_at.as_millis(), &tail).into_uuid())
    }

    /// Returns when the caller issued the key, on the Unix epoch.
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
