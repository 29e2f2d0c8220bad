//! Configured spans of time.

use serde::{Deserialize, Serialize};

/// A configured number of milliseconds. Running code turns it into a deadline at once and stores only that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);
