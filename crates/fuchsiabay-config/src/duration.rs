//! Configured durations.

use serde::{Deserialize, Serialize};

/// A configured duration in milliseconds. Code converts it to a deadline at once and stores only the deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);
