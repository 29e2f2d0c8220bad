//! A route: which requests it takes, and what may be done with them.

use fuchsiabay_base::ServiceName;
use serde::{Deserialize, Serialize};

/// What may be repeated of a request.
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
        /// Whether another server may continue the stream after the last event that arrived.
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

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that its requests name.
    pub host: String,
    /// The prefix of their paths. It begins and ends with a slash.
    pub path_prefix: String,
    /// The services that run its requests.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which a response has its full value, in milliseconds.
    pub goal_ms: u64,
    /// The longest pause between two events of a stream that is on time, in milliseconds.
    pub gap_goal_ms: Option<u64>,
    /// The time for which callers wait for the next event of a stream, the first one included, in milliseconds.
    pub patience_ms: Option<u64>,
    /// The number of servers that one request may be sent to.
    pub attempts: u32,
    /// Its rank among routes, 0 first.
    pub priority: u8,
    /// Whether its requests need no key.
    pub public: bool,
}

impl Route {
    /// Chooses a service by weight. `draw` is a random number.
    ///
    /// Returns None for a route without a target of positive weight.
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
