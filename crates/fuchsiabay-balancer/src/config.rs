//! The configuration published by the operator.

use std::collections::BTreeMap;

use fuchsiabay_base::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, ColdStart, EngineProfile, Route, Workspace};

/// A configuration. Entry instances also send it to each other in this form.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServingConfig {
    /// The version. Versions increase, but not always by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services. Those that are model engines have a profile.
    pub services: BTreeMap<ServiceName, Option<EngineProfile>>,
    /// How long the servers of a service are cold, for services that state it. Absent in messages of earlier versions.
    #[serde(default)]
    pub cold_starts: BTreeMap<ServiceName, ColdStart>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The workspaces. `None` means that requests need no API key.
    pub workspaces: Option<Vec<Workspace>>,
}
