//! Routes of plain services.

use fuchsiabay_base::ServiceName;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// The expected run time of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Short calls, such as look-ups and brief summaries.
    #[default]
    Short,
    /// Long-running calls, such as work on long logs or large data sets.
    Long,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path. A trailing `/*` matches every path below it.
    pub path: String,
    /// The service that serves the route.
    pub service: ServiceName,
    /// Whether repeating a call is harmless. A call on a route that is not idempotent requires an `Idempotency-Key`
    /// and runs at most once.
    pub idempotent: bool,
    /// The expected run time of its calls.
    #[serde(default)]
    pub class: WorkClass,
    /// The deadline of a call that does not state one.
    pub default_deadline_ms: Millis,
}

impl Route {
    /// Returns whether the route serves `method` and `path`. `path` must not include the query.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if self.method != method {
            return false;
        }
        let Some(prefix) = self.path.strip_suffix("/*") else {
            return self.path == path;
        };
        path.strip_prefix(prefix).is_some_and(|rest| rest.starts_with('/') && rest.len() > 1)
    }
}
