//! Deserialization of the shared key.

use fuchsiabay_wire::SharedKey;
use serde::{Deserialize, Deserializer, de::Error};

/// The minimum length of the shared key. A shorter key could be found by brute force.
const MIN_KEY_BYTES: usize = 16;

/// Deserializes the shared key from a string.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SharedKey, D::Error> {
    let text = String::deserialize(deserializer)?;
    if text.len() < MIN_KEY_BYTES {
        // The message must not contain the key.
        return Err(D::Error::custom("allowed: a string of at least 16 bytes"));
    }
    Ok(SharedKey::new(text))
}
