//! The checks that a request must pass before it is submitted.

use std::{sync::Arc, time::Duration};

use fuchsiabay_base::{Fingerprint, Timestamp};
use fuchsiabay_config::VersionedConfig;
use fuchsiabay_routing::QuarantineStatus;
use fuchsiabay_runtime::{monotonic_now, unix_now};
use futures_lite::FutureExt;
use smol::Timer;
use trillium::{Conn, Headers};

use crate::{
    config_source::ConfigSource, entry::Entry, headers::CallerHeaders, problem_details::ProblemDetails,
};

/// The timeout for a caller to send the body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 30_000;

/// The headers of an accepted request and the configuration that it is served under.
pub(crate) struct RequestContext {
    pub(crate) config: Arc<VersionedConfig>,
    pub(crate) headers: CallerHeaders,
    pub(crate) received_at: Timestamp,
}

impl<C: ConfigSource> Entry<C> {
    /// Accepts a request unless this instance is draining, its configuration is stale, the headers are invalid or the
    /// workspace is unknown.
    pub(crate) fn accept(&self, headers: &Headers) -> Result<RequestContext, ProblemDetails> {
        let received_at = monotonic_now();
        if self.is_draining() {
            return Err(ProblemDetails::not_run(
                503,
                "draining",
                "This entry instance is leaving",
                "Use another one.",
            ));
        }
        let Some(config) = self.servable_config(received_at) else {
            let detail = "This entry instance cannot prove that its configuration is current.";
            return Err(ProblemDetails::not_run(
                503,
                "config-stale",
                "The configuration is not proved current",
                detail,
            ));
        };
        let headers = CallerHeaders::parse(headers, self.limits.max_headers, received_at)?;
        if !config.document.workspaces.contains_key(&headers.workspace) {
            let detail = format!("The configuration has no workspace {}.", headers.workspace);
            return Err(ProblemDetails::not_run(
                403,
                "unknown-workspace",
                "The workspace is unknown",
                detail,
            ));
        }
        Ok(RequestContext { config, headers, received_at })
    }

    /// Refuses a quarantined request. Returns whether the request is suspected of a crash.
    pub(crate) fn check_quarantine(
        &self,
        fingerprint: &Fingerprint,
        config: &VersionedConfig,
    ) -> Result<bool, ProblemDetails> {
        let now = unix_now();
        match self.quarantine.status(fingerprint, config.preset.quarantine_crashes, now) {
            QuarantineStatus::NotSuspected => Ok(false),
            QuarantineStatus::Suspect => Ok(true),
            QuarantineStatus::Quarantined { until } => {
                let detail =
                    format!("The request is refused for {} s more.", until.millis_since(now).div_ceil(1000));
                Err(ProblemDetails::not_run(
                    422,
                    "quarantined",
                    "The request crashes backend servers",
                    detail,
                ))
            }
        }
    }

    /// Charges the estimated tokens to the workspace, if it has a limit.
    pub(crate) fn charge(&self, context: &RequestContext, tokens: u32) -> Result<(), ProblemDetails> {
        let workspace = &context.headers.workspace;
        let limit = context.config.document.workspaces.get(workspace).and_then(|w| w.tokens_per_second);
        let Some(limit) = limit else {
            return Ok(());
        };
        let entries = self.live_entries.load(std::sync::atomic::Ordering::Relaxed);
        let now = context.received_at;
        self.workspace_limiter.admit(workspace, limit, entries, tokens.into(), now).map_err(|retry_at| {
            let detail = format!("The limit is {limit} tokens per second over all entry instances.");
            ProblemDetails::not_run(429, "workspace-limit", "The workspace used up its share", detail)
                .with_retry_at(retry_at, now)
        })
    }

    /// Reads the body within the limits on its size and time.
    pub(crate) async fn read_body(&self, conn: &mut Conn) -> Result<Vec<u8>, ProblemDetails> {
        let limit = u64::from(self.limits.max_body_bytes);
        let too_large = || {
            ProblemDetails::not_run(
                413,
                "body-too-large",
                "The body is too large",
                format!("allowed: {limit} bytes"),
            )
        };
        let body = conn.request_body().with_max_len(limit);
        if body.content_length().is_some_and(|len| len > limit) {
            return Err(too_large());
        }
        let read = async { Some(body.read_bytes().await) };
        let timeout = async {
            Timer::after(Duration::from_millis(BODY_TIMEOUT_MS)).await;
            None
        };
        match read.or(timeout).await {
            Some(Ok(bytes)) if bytes.len() as u64 <= limit => Ok(bytes),
            Some(Ok(_) | Err(trillium::Error::ReceivedBodyTooLong(_))) => Err(too_large()),
            Some(Err(error)) => Err(ProblemDetails::bad_request(format!("the body cannot be read: {error}"))),
            None => Err(ProblemDetails::not_run(
                408,
                "body-timeout",
                "The body took too long",
                format!("allowed: {BODY_TIMEOUT_MS} ms"),
            )),
        }
    }
}
