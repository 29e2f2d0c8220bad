//! What one agent is told at its start.

use fuchsiabay_base::ServiceName;
use fuchsiabay_claims::ClaimLimits;
use fuchsiabay_runtime::Identity;
use fuchsiabay_settings::{AgentSettings, BackendKind, GroupSettings};

/// What one agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentParams {
    /// Who it is. The generation is the start time.
    pub identity: Identity,
    /// What the backend server is.
    pub kind: BackendKind,
    /// The service that the backend server offers.
    pub service: ServiceName,
    /// The address of the backend server.
    pub backend_url: String,
    /// Attempts that the backend server runs at the same time.
    pub slots: u32,
    /// The address of the log.
    pub log_url: String,
    /// The address of the instance list.
    pub list_url: String,
    /// How old and how new idempotency keys may be.
    pub claims: ClaimLimits,
    /// The place of the backend server in a group of ranks.
    pub group: Option<GroupSettings>,
}

impl AgentParams {
    /// Takes the parameters from the settings.
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
