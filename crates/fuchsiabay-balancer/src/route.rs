//! Routes: which requests they match, and how those are handled.

use fuchsiabay_base::ServiceName;
use serde::{Deserialize, Serialize};

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// The request may run more than once.
    Safe,
    /// The request may run at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// Whether another server may resume the stream after the last received event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the name used in logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream { .. } => "stream",
        }
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The weight, relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host of the requests.
    pub host: String,
    /// The path prefix of the requests. It begins and ends with a slash.
    pub path_prefix: String,
    /// The services that run the requests.
    pub targets: Vec<Target>,
    /// How the requests may be repeated.
    pub kind: RouteKind,
    /// The maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The latency goal of a response, in milliseconds. A later response has less value for the caller.
    pub goal_ms: u64,
    /// The goal for the time between two events of a stream, in milliseconds.
    pub gap_goal_ms: Option<u64>,
    /// How long callers wait for the next event of a stream, including the first one, in milliseconds.
    pub patience_ms: Option<u64>,
    /// The maximum number of servers to which a request is sent.
    pub attempts: u32,
    /// The priority among routes, 0 for the highest.
    pub priority: u8,
    /// Whether the requests need no API key.
    pub public: bool,
}

impl Route {
    /// Chooses a service by weight. `draw` is a random number.
    ///
    /// Returns `None` for a route without a target of positive weight.
    pub fn choose_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
