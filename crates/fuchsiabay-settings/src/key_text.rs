//! The shared key in settings.

use fuchsiabay_wire::SharedKey;
use serde::{Deserialize, Deserializer, de::Error};

/// A shorter key could be found by trying.
const MIN_KEY_BYTES: usize = 16;

/// Reads the shared key from its text.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SharedKey, D::Error> {
    let text = String::deserialize(deserializer)?;
    if text.len() < MIN_KEY_BYTES {
        // The message must not repeat the key.
        return Err(D::Error::custom("allowed: a text of 16 bytes or more"));
    }
    Ok(SharedKey::new(text))
}
