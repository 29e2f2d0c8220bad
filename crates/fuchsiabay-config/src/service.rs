//! Services offered by backend servers.

use serde::{Deserialize, Serialize};

/// The kind of backend server that offers a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine, called through chat completions under the service's name as the model.
    Model,
    /// A plain HTTP service, called through its routes.
    Plain,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The kind of the service.
    pub kind: ServiceKind,
}
