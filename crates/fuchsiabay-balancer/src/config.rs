//! A configuration as the operator published it.

use std::collections::BTreeMap;

use fuchsiabay_base::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, EngineProfile, Route, Workspace};

/// A configuration. Entry instances pass it on to each other in this form.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServingConfig {
    /// Its version. Versions increase in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services, with the profile of those that are model engines.
    pub services: BTreeMap<ServiceName, Option<EngineProfile>>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The workspaces. None means that requests need no key.
    pub workspaces: Option<Vec<Workspace>>,
}
