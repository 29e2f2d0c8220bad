//! Parameters of an agent.

use fuchsiabay_base::ServiceName;
use fuchsiabay_claims::ClaimLimits;
use fuchsiabay_runtime::Identity;
use fuchsiabay_settings::{AgentSettings, BackendKind, GroupSettings};

/// The parameters of an agent.
#[derive(Clone, Debug)]
pub struct AgentParams {
    /// The agent's identity. Its generation is the start time of the process.
    pub identity: Identity,
    /// The kind of the backend server.
    pub kind: BackendKind,
    /// The service that the backend server offers.
    pub service: ServiceName,
    /// The address of the backend server.
    pub backend_url: String,
    /// The number of attempts that the backend server runs at the same time.
    pub slots: u32,
    /// The address of the log.
    pub log_url: String,
    /// The address of the instance list.
    pub list_url: String,
    /// The limits on the age of idempotency keys and on the clock skew of the callers that issue them.
    pub claims: ClaimLimits,
    /// The backend server's position in a group of ranks, if it is part of one.
    pub group: Option<GroupSettings>,
}

impl AgentParams {
    /// Derives the parameters from the settings.
    pub fn new(settings: &AgentSettings, identity: Identity) -> Self {
        let claims = &settings.claims;
        let margin_ms = claims.retention_ms.saturating_sub(claims.window_ms + claims.skew_ms);
        Self {
            identity,
            kind: settings.backend.kind,
            service: settings.backend.service.clone(),
            backend_url: settings.backend.url.clone(),
            slots: settings.backend.slots,
            log_url: settings.log_url.clone(),
            list_url: settings.list_url.clone(),
            claims: ClaimLimits { window_ms: claims.window_ms, skew_ms: claims.skew_ms, margin_ms },
            group: settings.backend.group.clone(),
        }
    }
}
