//! Why a request is sent to another zone.

use serde::Serialize;

/// Why a request is sent to another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrossZoneReason {
    /// The usage of the zone is above the high watermark, or has not fallen below the low one since.
    AboveWatermark,
    /// The zone has no server that may run the request.
    NoServer,
    /// The ranks of the zone have more load than the mean, or process prompts of this instance.
    RankLoad,
}

impl CrossZoneReason {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AboveWatermark => "above_watermark",
            Self::NoServer => "no_server",
            Self::RankLoad => "rank_load",
        }
    }
}
