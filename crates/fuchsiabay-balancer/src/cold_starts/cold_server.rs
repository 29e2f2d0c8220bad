//! The cold state of one server.

use fuchsiabay_base::{Timestamp, ZoneName};

use super::{ColdReason, send_window::SendWindow};
use crate::{InstanceRank, ServerRecord};

/// The cold state of one server, over all its incarnations.
#[derive(Clone, Debug)]
pub(super) struct ColdServer {
    /// The latest known incarnation and heartbeat. A heartbeat that is read again must not restart the countdown.
    pub(super) version: (u64, u64),
    pub(super) zone: ZoneName,
    pub(super) reason: ColdReason,
    /// Since when the server has been cold and able to run requests.
    pub(super) since: Timestamp,
    pub(super) until: Timestamp,
    /// Until when the server is known to be unable to run requests. From then on it counts as cold.
    pub(super) blocked_until: Option<Timestamp>,
    /// Whether the last connection to it was refused. It counts as cold until it has responded.
    pub(super) is_unreachable: bool,
    /// The position of this instance among those that share the limit of the server.
    pub(super) rank: InstanceRank,
    pub(super) window: SendWindow,
    /// When the state is forgotten. None while the server is listed.
    pub(super) expires_at: Option<Timestamp>,
}

impl ColdServer {
    pub(super) fn new(record: &ServerRecord, rank: InstanceRank) -> Self {
        Self {
            version: record.version_key(),
            zone: record.zone.clone(),
            reason: ColdReason::Started,
            since: Timestamp::ZERO,
            until: Timestamp::ZERO,
            blocked_until: None,
            is_unreachable: false,
            rank,
            window: SendWindow::default(),
            expires_at: None,
        }
    }

    /// Returns since when and until when the server is cold, with the reason. None if it is not cold. `start_ms` states how long
    /// a server is cold after a start.
    pub(super) fn span(&self, start_ms: u64, now: Timestamp) -> Option<(Timestamp, Timestamp, ColdReason)> {
        let (mut since, mut until, mut reason) = (self.since, self.until, self.reason);
        if let Some(end) = self.blocked_until.filter(|end| *end <= now) {
            reason = if until <= end { ColdReason::Unblocked } else { reason };
            (since, until) = (end, until.max(end.plus_millis(start_ms)));
        }
        if self.is_unreachable {
            until = until.max(now.plus_millis(start_ms.max(1)));
        }
        (until > now).then_some((since, until, reason))
    }

    /// Extends the time for which the server is cold to `until`, never shortens it. Returns whether it has become cold.
    pub(super) fn mark(
        &mut self,
        until: Timestamp,
        reason: ColdReason,
        start_ms: u64,
        now: Timestamp,
    ) -> bool {
        let span = self.span(start_ms, now);
        (self.since, self.until, self.reason) = span.unwrap_or((now, until, reason));
        self.until = self.until.max(until);
        // The instances spread their first requests again after each interruption.
        if reason.ends_interruption() {
            self.since = now;
        }
        // The end of the block is part of the span now.
        self.blocked_until = self.blocked_until.filter(|end| *end > now);
        span.is_none() && until > now
    }
}
