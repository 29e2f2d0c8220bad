//! One entry instance with the real router and its view of the backend servers.

use std::sync::Arc;

use fuchsiabay_base::{AttemptId, Timestamp, WriterId};
use fuchsiabay_routing::{
    Backoff, Dispatch, Member, NoServer, PickArgs, QuarantineStatus, RetryBudget, Router,
};

use crate::{
    leaving_script::SERVERS,
    leaving_server::Server,
    leaving_world::{service, writer_id, zone},
};

/// A server as a target of attempts. Its handle is the index of the server.
pub(crate) type Target = Arc<fuchsiabay_routing::Server<usize>>;

/// The time after connecting by which an entry instance has received the first load report of a server, in
/// milliseconds.
const FIRST_REPORT_MS: u64 = 700;

pub(crate) struct Entry {
    pub(crate) router: Router<usize>,
    pub(crate) budget: RetryBudget,
    /// The servers that the instance list shows as live.
    pub(crate) listed: [bool; SERVERS],
    /// The incarnation of each server that the instance is connected to, and since when.
    pub(crate) connections: [Option<(u64, Timestamp)>; SERVERS],
    /// How long the instance is down after its drain, in milliseconds. Set while it drains or is down.
    pub(crate) down_ms: Option<u64>,
    pub(crate) stopped: bool,
}

impl Entry {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            router: Router::new(zone()),
            // The budget is empty, because a drain must not depend on it: a partial outage may have exhausted it.
            budget: RetryBudget::new(0, now),
            listed: [true; SERVERS],
            connections: [None; SERVERS],
            down_ms: None,
            stopped: false,
        }
    }

    /// Updates the router with the servers that are connected and listed.
    pub(crate) fn update_router(&self) {
        let members = (0..SERVERS).filter(|server| self.listed[*server]).filter_map(|server| {
            let (incarnation, _) = self.connections[server]?;
            Some((server, Member { id: writer_id(server, incarnation), zone: zone(), service: service() }))
        });
        let (indices, members): (Vec<usize>, Vec<Member>) = members.unzip();
        let ids: Vec<WriterId> = members.iter().map(|member| member.id.clone()).collect();
        let index_of = |member: &Member| ids.iter().position(|id| *id == member.id).map_or(0, |i| indices[i]);
        for removed in self.router.update(members, index_of) {
            removed.set_connected(false);
        }
        for server in self.router.servers(&service()).iter() {
            server.set_connected(true);
        }
    }

    /// Returns the target that the router has for a server.
    pub(crate) fn target(&self, server: usize) -> Option<Target> {
        self.router.servers(&service()).iter().find(|target| *target.handle() == server).map(Arc::clone)
    }

    /// Returns a server that accepts work and whose first load report has had time to arrive.
    pub(crate) fn available_server(&self, servers: &[Server], now: Timestamp) -> Option<usize> {
        (0..SERVERS).find(|server| {
            let state = &servers[*server];
            let is_current =
                self.connections[*server].is_some_and(|(incarnation, _)| state.is_running(incarnation));
            is_current && self.has_first_report(*server, now) && self.listed[*server] && !state.draining
        })
    }

    /// Returns whether the first load report of a connected server has had time to arrive.
    pub(crate) fn has_first_report(&self, server: usize, now: Timestamp) -> bool {
        self.connections[server].is_some_and(|(_, since)| since.plus_millis(FIRST_REPORT_MS) <= now)
    }
}

pub(crate) struct EntryContext<'a> {
    pub(crate) entry: &'a Entry,
    pub(crate) rng: &'a mut fastrand::Rng,
    pub(crate) next_attempt: &'a mut u64,
    pub(crate) prefix: u64,
}

impl Dispatch for EntryContext<'_> {
    type Target = Target;

    fn id(target: &Target) -> &WriterId {
        target.id()
    }

    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Target, NoServer> {
        let args = PickArgs { service: &service(), prefix: Some(self.prefix), tried, spill_over_ms: 100 };
        let target = self.entry.router.pick(&args, now, self.rng)?;
        self.entry.router.record_prefix(self.prefix, target.id());
        Ok(target)
    }

    fn next_attempt(&mut self) -> AttemptId {
        crate::dispatch::next_attempt(self.next_attempt)
    }

    fn take_retry(&mut self, now: Timestamp) -> bool {
        self.entry.budget.try_take(now)
    }

    fn backoff(&mut self, now: Timestamp) -> Timestamp {
        Backoff::default().next(now, self.rng)
    }

    fn report_crash(&mut self, _server: &WriterId, _now: Timestamp) -> QuarantineStatus {
        QuarantineStatus::NotSuspected
    }
}
