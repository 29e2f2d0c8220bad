//! Decides by what servers have stated whether requests may be sent to them.

use std::cmp::Ordering;

use fuchsiabay_base::{InstanceId, Timestamp};

use super::{SendPermission, Statements, server_statements::ServerStatements};
use crate::ServerRecord;

impl Statements {
    /// Returns whether a slot for a request to `server` may be granted now.
    pub(crate) fn grant_permission(&self, server: &ServerRecord, now: Timestamp) -> SendPermission {
        let permission = self.send_permission(server, now);
        let limit = self.of(server).and_then(|statements| statements.rate_limit);
        match limit {
            Some(limit) if permission.is_granted() && !limit.allows(now) => {
                SendPermission::NotBefore(limit.next_at(now))
            }
            _ => permission,
        }
    }

    /// Returns whether a request that holds a slot at `server`, which already counts towards the limit of the server, may be
    /// sent now.
    pub(crate) fn send_permission(&self, server: &ServerRecord, now: Timestamp) -> SendPermission {
        if self.is_leaving(server) {
            return SendPermission::Never;
        }
        match self.paused_until(server, now) {
            Some(until) => SendPermission::NotBefore(until),
            None => SendPermission::Granted,
        }
    }

    /// Returns whether `server` has stated that it is leaving. An earlier incarnation has left, too.
    pub(crate) fn is_leaving(&self, server: &ServerRecord) -> bool {
        let statements = self.by_server.get(&server.id);
        statements.is_some_and(|statements| match server.started_at_ms.cmp(&statements.started_at_ms) {
            Ordering::Less => true,
            Ordering::Equal => statements.is_leaving,
            Ordering::Greater => false,
        })
    }

    /// Returns the servers that have stated that they are leaving.
    pub(crate) fn leaving(&self) -> impl Iterator<Item = &InstanceId> {
        self.by_server.iter().filter(|(_, statements)| statements.is_leaving).map(|(id, _)| id)
    }

    /// Returns the end of the pause that `server` has stated. None if there is none.
    pub(crate) fn paused_until(&self, server: &ServerRecord, now: Timestamp) -> Option<Timestamp> {
        self.of(server)?.pause.map(|pause| pause.until).filter(|until| *until > now)
    }

    /// Returns whether `server` states a limit.
    pub(crate) fn has_rate_limit(&self, server: &ServerRecord) -> bool {
        self.of(server).is_some_and(|statements| statements.rate_limit.is_some())
    }

    fn of(&self, server: &ServerRecord) -> Option<&ServerStatements> {
        self.by_server.get(&server.id).filter(|statements| statements.started_at_ms == server.started_at_ms)
    }
}
