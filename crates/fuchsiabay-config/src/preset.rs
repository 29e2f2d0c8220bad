//! Presets.

use serde::{Deserialize, Serialize};

use crate::{Millis, Problem};

/// The limits that apply while a preset is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// The maximum number of attempts queued at one backend server.
    pub queue_limit: u32,
    /// The share of a backend server's slots that long work may hold while short work waits, in percent.
    pub long_share_percent: u32,
    /// Long work that has waited this long is started before short work, within its share, so that it does not
    /// starve.
    pub ageing_ms: Millis,
    /// Work estimated above this number of tokens is long work.
    pub long_work_tokens: u32,
    /// The maximum value of a request's `max_tokens`.
    pub max_output_tokens: u32,
    /// The maximum ratio of retries to first attempts, in percent.
    pub retry_budget_percent: u32,
    /// Work is sent to another availability zone if the predicted wait there is shorter by this much.
    pub spill_over_ms: Millis,
    /// The number of backend server crashes after which a request fingerprint is quarantined.
    pub quarantine_crashes: u32,
    /// How long requests with a quarantined fingerprint are refused.
    pub quarantine_ms: Millis,
    /// The deadline of a chat completion that does not state one.
    pub default_deadline_ms: Millis,
    /// How long a drain may take before the remaining work is aborted.
    pub drain_ms: Millis,
}

impl Preset {
    /// Appends a problem for each field with a value that is not allowed. `path` is the path of the preset.
    pub(crate) fn check(&self, path: &str, problems: &mut Vec<Problem>) {
        let mut require = |ok: bool, field: &str, allowed: &str| {
            if !ok {
                problems.push(Problem::new(format!("{path}.{field}"), allowed));
            }
        };
        require((1..=100_000).contains(&self.queue_limit), "queue_limit", "allowed: 1 to 100000 attempts");
        require(
            (1..=100).contains(&self.long_share_percent),
            "long_share_percent",
            "allowed: 1 to 100 percent",
        );
        require(self.ageing_ms.0 >= 1, "ageing_ms", "allowed: 1 ms or more");
        require(self.long_work_tokens >= 1, "long_work_tokens", "allowed: 1 token or more");
        require(
            (1..=1_000_000).contains(&self.max_output_tokens),
            "max_output_tokens",
            "allowed: 1 to 1000000 tokens",
        );
        require(self.retry_budget_percent <= 100, "retry_budget_percent", "allowed: 0 to 100 percent");
        require(
            (1..=100).contains(&self.quarantine_crashes),
            "quarantine_crashes",
            "allowed: 1 to 100 crashes",
        );
        require(self.quarantine_ms.0 >= 1, "quarantine_ms", "allowed: 1 ms or more");
        require(
            (1..=86_400_000).contains(&self.default_deadline_ms.0),
            "default_deadline_ms",
            "allowed: 1 ms to 86400000 ms (one day)",
        );
        require(
            (1..=86_400_000).contains(&self.drain_ms.0),
            "drain_ms",
            "allowed: 1 ms to 86400000 ms (one day)",
        );
    }
}
