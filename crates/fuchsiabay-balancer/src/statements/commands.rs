//! Records what servers state.

use std::collections::HashSet;

use fuchsiabay_base::{InstanceId, Timestamp};

use super::{
    InstanceRank, Statements, pause::Pause, rate_limit::RateLimit, server_statements::ServerStatements,
};
use crate::ServerRecord;

/// How long statements are kept after the server is no longer listed, in milliseconds. A listing that is so old is not in use
/// anywhere, also if the store is away meanwhile.
const LIFETIME_MS: u64 = 600_000;

impl Statements {
    /// Records that `server` is leaving. Returns whether that was unknown.
    pub(crate) fn record_leaving(&mut self, server: &ServerRecord) -> bool {
        let Some(statements) = self.entry(server) else {
            return false;
        };
        !std::mem::replace(&mut statements.is_leaving, true)
    }

    /// Records that `server` wants no requests for `seconds`. Returns the end of the pause, or None if `seconds` is not a length
    /// of time or the server has restarted since.
    pub(crate) fn record_pause(
        &mut self,
        server: &ServerRecord,
        seconds: f64,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let pause = Pause::new(seconds, now)?;
        let statements = self.entry(server)?;
        let pause = pause.merge(statements.pause);
        statements.pause = Some(pause);
        Some(pause.until)
    }

    /// Records the number of requests a second that `server` accepts from all instances, among which this one has `rank`. None if
    /// it states no limit.
    pub(crate) fn set_rate_limit(
        &mut self,
        server: &ServerRecord,
        per_s: Option<f64>,
        rank: InstanceRank,
        now: Timestamp,
    ) {
        if per_s.is_none() && !self.has_rate_limit(server) {
            return;
        }
        let Some(statements) = self.entry(server) else {
            return;
        };
        statements.rate_limit = per_s.map(|per_s| match statements.rate_limit {
            Some(known) => known.restated(per_s, rank, now),
            None => RateLimit::new(per_s, rank, now),
        });
    }

    /// Records that a slot for a request to `server` is granted, which counts towards its limit.
    pub(crate) fn record_grant(&mut self, server: &ServerRecord, now: Timestamp) {
        let statements = self.by_server.get_mut(&server.id);
        let current = statements.filter(|statements| statements.started_at_ms == server.started_at_ms);
        if let Some(rate_limit) = current.and_then(|statements| statements.rate_limit.as_mut()) {
            rate_limit.record_sent(now);
        }
    }

    /// Records which servers the directory lists. The statements of the others expire.
    pub(crate) fn record_listing<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a ServerRecord>,
        now: Timestamp,
    ) {
        if self.by_server.is_empty() {
            return;
        }
        let listed: HashSet<&InstanceId> = listed.map(|server| &server.id).collect();
        for (id, statements) in &mut self.by_server {
            if listed.contains(id) {
                statements.expires_at = None;
            } else {
                statements.expires_at.get_or_insert(now.plus_millis(LIFETIME_MS));
            }
        }
    }

    /// Drops the statements that have expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.by_server.retain(|_, statements| statements.expires_at.is_none_or(|at| at > now));
    }

    /// Returns the statements of the incarnation in `server`, which replaces an earlier one. None if a later one has made
    /// statements.
    fn entry(&mut self, server: &ServerRecord) -> Option<&mut ServerStatements> {
        let new = ServerStatements::new(server.started_at_ms);
        let statements = self.by_server.entry(server.id.clone()).or_insert(new);
        if statements.started_at_ms < server.started_at_ms {
            *statements = new;
        }
        (statements.started_at_ms == server.started_at_ms).then_some(statements)
    }
}
