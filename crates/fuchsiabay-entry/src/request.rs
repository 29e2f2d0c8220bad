//! A validated request of a caller.

use std::sync::Arc;

use fuchsiabay_base::{AttemptId, Fingerprint, IdempotencyKey, ServiceName, Timestamp, WorkspaceId};
use fuchsiabay_config::VersionedConfig;
use fuchsiabay_routing::{PickArgs, RequestKind};
use fuchsiabay_wire::{Priority, SubmitRequest, Work};

/// A validated request. It is served under the configuration that it was validated against.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) config: Arc<VersionedConfig>,
    pub(crate) workspace: WorkspaceId,
    pub(crate) service: ServiceName,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) prefix: Option<u64>,
    pub(crate) priority: Priority,
    pub(crate) estimated_tokens: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) deadline: Timestamp,
    pub(crate) work: RequestWork,
}

/// The work of a request, without the state of an attempt.
#[derive(Debug)]
pub(crate) enum RequestWork {
    Generate { prompt: String, max_tokens: u32 },
    Plain { method: String, path: String, content_type: String, body: Vec<u8> },
}

impl Request {
    pub(crate) fn kind(&self) -> RequestKind {
        match self.work {
            RequestWork::Generate { .. } => RequestKind::Generate,
            RequestWork::Plain { .. } => RequestKind::Plain,
        }
    }

    /// Returns the arguments for picking a server that is not in `tried`.
    pub(crate) fn pick_args<'a>(&'a self, tried: &'a [fuchsiabay_base::WriterId]) -> PickArgs<'a> {
        PickArgs {
            service: &self.service,
            prefix: self.prefix,
            tried,
            spill_over_ms: self.config.preset.spill_over_ms.0,
        }
    }

    /// Returns the message that submits an attempt, which resumes at position `resume_from` after `text`.
    pub(crate) fn submission(
        &self,
        attempt: AttemptId,
        solo: bool,
        resume_from: u32,
        text: &str,
        now: Timestamp,
    ) -> SubmitRequest {
        let work = match &self.work {
            RequestWork::Generate { prompt, max_tokens } => Work::Generate {
                prompt: prompt.clone(),
                max_tokens: *max_tokens,
                resume_from,
                resume_text: text.to_owned(),
            },
            RequestWork::Plain { method, path, content_type, body } => Work::Plain {
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
                body: body.clone(),
            },
        };
        SubmitRequest {
            attempt,
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            idempotent: self.idempotent,
            key: self.key,
            fingerprint: self.fingerprint,
            priority: self.priority,
            estimated_tokens: self.estimated_tokens.saturating_sub(resume_from).max(1),
            deadline_in_ms: self.deadline.millis_since(now),
            solo,
            config_version: self.config.version,
            work,
        }
    }
}
