//! One entry instance: the real router and what it knows about the backend servers.

use std::sync::Arc;

use fuchsiabay_base::{AttemptId, Timestamp, WriterId};
use fuchsiabay_routing::{
    Backoff, Dispatch, Member, NoServer, PickArgs, QuarantineStatus, RetryBudget, Router,
};

use crate::{
    leaving_script::SERVERS,
    leaving_server::Server,
    leaving_world::{service, writer, zone},
};

/// A server as a target of attempts. The link is its number.
pub(crate) type Target = Arc<fuchsiabay_routing::Server<usize>>;

/// How long after the connection a server counts as known to an entry instance: its first load report has arrived.
const SETTLED_MS: u64 = 700;

pub(crate) struct Entry {
    pub(crate) router: Router<usize>,
    pub(crate) budget: RetryBudget,
    /// The servers that the instance list shows as live.
    pub(crate) listed: [bool; SERVERS],
    /// The connected life of each server, and since when.
    pub(crate) lives: [Option<(u64, Timestamp)>; SERVERS],
    /// Set while the instance drains or is gone: how long it is gone.
    pub(crate) gone_ms: Option<u64>,
    pub(crate) stopped: bool,
}

impl Entry {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            router: Router::new(zone()),
            // No retry at all: a drain must not depend on the budget, which a partial outage may have emptied.
            budget: RetryBudget::new(0, now),
            listed: [true; SERVERS],
            lives: [None; SERVERS],
            gone_ms: None,
            stopped: false,
        }
    }

    /// Gives the connected and listed servers to the router.
    pub(crate) fn publish(&self) {
        let members = (0..SERVERS).filter(|server| self.listed[*server]).filter_map(|server| {
            let (life, _) = self.lives[server]?;
            Some((server, Member { id: writer(server, life), zone: zone(), service: service() }))
        });
        let (numbers, members): (Vec<usize>, Vec<Member>) = members.unzip();
        let ids: Vec<WriterId> = members.iter().map(|member| member.id.clone()).collect();
        let number = |member: &Member| ids.iter().position(|id| *id == member.id).map_or(0, |i| numbers[i]);
        for left in self.router.update(members, number) {
            left.set_connected(false);
        }
        for server in self.router.servers(&service()).iter() {
            server.set_connected(true);
        }
    }

    /// Returns the routed life of a server.
    pub(crate) fn target(&self, server: usize) -> Option<Target> {
        self.router.servers(&service()).iter().find(|target| *target.link() == server).map(Arc::clone)
    }

    /// Returns a server that takes work and has been connected long enough to be known.
    pub(crate) fn settled(&self, servers: &[Server], now: Timestamp) -> Option<usize> {
        (0..SERVERS).find(|server| {
            let state = &servers[*server];
            let current = self.lives[*server].is_some_and(|(life, _)| state.serves(life));
            current && self.knows(*server, now) && self.listed[*server] && !state.draining
        })
    }

    /// Returns whether the first load report of a connected server must have arrived.
    pub(crate) fn knows(&self, server: usize, now: Timestamp) -> bool {
        self.lives[server].is_some_and(|(_, since)| since.plus_millis(SETTLED_MS) <= now)
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
        self.entry.router.remember_prefix(self.prefix, target.id());
        Ok(target)
    }

    fn next_attempt(&mut self) -> AttemptId {
        crate::placement::next_attempt(self.next_attempt)
    }

    fn take_retry(&mut self, now: Timestamp) -> bool {
        self.entry.budget.take(now)
    }

    fn backoff(&mut self, now: Timestamp) -> Timestamp {
        Backoff::default().next(now, self.rng)
    }

    fn report_crash(&mut self, _server: &WriterId, _now: Timestamp) -> QuarantineStatus {
        QuarantineStatus::NotSuspected
    }
}
