//! The choice of a server by each policy.

use std::sync::Arc;

use fastrand::Rng;
use fuchsiabay_base::{Generation, InstanceId, ServiceName, Timestamp, WriterId, ZoneName};
use fuchsiabay_routing::{Member, Pick, Router, Server};
use fuchsiabay_wire::LoadReport;

use super::job::Job;

/// Availability zones of servers and entry instances.
const ZONES: usize = 3;
/// Another zone is used when its predicted wait is shorter by this much, in milliseconds.
const SPILL_OVER_MS: u64 = 5;
/// Servers that a refused request is tried at in all.
const MAX_TRIES: usize = 3;

/// Chooses servers for the requests of one entry instance.
pub(crate) trait Balancer {
    /// Returns the server of the next try, or `None` to refuse.
    fn pick(&mut self, job: &Job, tried: &[usize], now: Timestamp, rng: &mut Rng) -> Option<usize>;

    /// Learns the load of a server.
    fn learn(&mut self, server: usize, report: LoadReport, now: Timestamp);
}

/// Each server in turn.
pub(crate) struct RoundRobin {
    pub(crate) servers: usize,
    pub(crate) next: usize,
}

impl Balancer for RoundRobin {
    fn pick(&mut self, _: &Job, _: &[usize], _: Timestamp, _: &mut Rng) -> Option<usize> {
        self.next = (self.next + 1) % self.servers;
        Some(self.next)
    }

    fn learn(&mut self, _: usize, _: LoadReport, _: Timestamp) {}
}

/// A server at random.
pub(crate) struct Random {
    pub(crate) servers: usize,
}

impl Balancer for Random {
    fn pick(&mut self, _: &Job, _: &[usize], _: Timestamp, rng: &mut Rng) -> Option<usize> {
        Some(rng.usize(..self.servers))
    }

    fn learn(&mut self, _: usize, _: LoadReport, _: Timestamp) {}
}

/// The server with the fewest attempts by its last report.
pub(crate) struct LeastLoaded {
    pub(crate) attempts: Vec<u32>,
}

impl Balancer for LeastLoaded {
    fn pick(&mut self, _: &Job, _: &[usize], _: Timestamp, rng: &mut Rng) -> Option<usize> {
        let least = *self.attempts.iter().min()?;
        let ties: Vec<usize> = (0..self.attempts.len()).filter(|&i| self.attempts[i] == least).collect();
        Some(ties[rng.usize(..ties.len())])
    }

    fn learn(&mut self, server: usize, report: LoadReport, _: Timestamp) {
        self.attempts[server] = report.queued + report.running;
    }
}

/// The router of the entry.
pub(crate) struct Routed {
    router: Router<usize>,
    service: ServiceName,
    servers: Vec<Arc<Server<usize>>>,
}

impl Routed {
    /// Builds the router of entry instance number `entry`.
    pub(crate) fn new(entry: usize, servers: usize) -> Self {
        let service = ServiceName::from("model");
        let router = Router::new(zone(entry));
        let members = (0..servers).map(|i| Member { id: id(i), zone: zone(i), service: service.clone() });
        let index = |member: &Member| (0..servers).find(|&i| id(i) == member.id).unwrap_or_default();
        router.update(members.collect(), index);
        let mut servers = router.servers(&service).to_vec();
        servers.sort_by_key(|server| *server.link());
        servers.iter().for_each(|server| server.set_connected(true));
        Self { router, service, servers }
    }
}

impl Balancer for Routed {
    fn pick(&mut self, job: &Job, tried: &[usize], now: Timestamp, rng: &mut Rng) -> Option<usize> {
        if tried.len() >= MAX_TRIES {
            return None;
        }
        let tried: Vec<WriterId> = tried.iter().map(|&i| id(i)).collect();
        let pick = Pick { service: &self.service, prefix: None, tried: &tried, spill_over_ms: SPILL_OVER_MS };
        let server = self.router.pick(&pick, now, rng).ok()?;
        server.count_send(job.estimated_tokens);
        Some(*server.link())
    }

    fn learn(&mut self, server: usize, report: LoadReport, now: Timestamp) {
        self.servers[server].apply_report(report, now);
    }
}

fn zone(i: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", i % ZONES))
}

fn id(i: usize) -> WriterId {
    WriterId { instance: InstanceId::new(format!("server-{i}")), generation: Generation(1) }
}
