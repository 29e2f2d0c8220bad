//! Selection of a backend server.

use std::{collections::HashMap, sync::Arc};

use fastrand::Rng;
use fuchsiabay_base::{ServiceName, Timestamp, WriterId, ZoneName};
use parking_lot::RwLock;

use crate::{Server, affinity::Affinity};

/// Prefix affinity applies only to a server with at most this many percent of the mean number of attempts of its
/// service. The bound keeps a popular prefix from overloading one server.
const AFFINITY_LOAD_PERCENT: u64 = 125;
/// A server whose time between tokens exceeds this many percent of the median of its service is a straggler.
const STRAGGLER_PERCENT: u64 = 200;
/// The fewest measured servers that give a useful median.
const MIN_SERVERS_FOR_MEDIAN: usize = 3;

/// A live instance in the instance list that serves a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance and its incarnation.
    pub id: WriterId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service that it serves.
    pub service: ServiceName,
}

/// The arguments of [`Router::pick`].
#[derive(Clone, Copy, Debug)]
pub struct PickArgs<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The hash of the prompt prefix, if the service caches prefixes.
    pub prefix: Option<u64>,
    /// The servers that this request has already tried.
    pub tried: &'a [WriterId],
    /// A server in another zone is used when its predicted wait is shorter by more than this many milliseconds.
    pub spill_over_ms: u64,
}

/// The error returned when no server accepts an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoServer {
    /// When the first of the skipped servers may be tried again, if there is one.
    pub retry_at: Option<Timestamp>,
}

/// The servers of one service. The list is replaced as a whole, so that each pick sees a consistent list.
pub type Servers<H> = Arc<Vec<Arc<Server<H>>>>;

/// Picks a backend server for each attempt.
#[derive(Debug)]
pub struct Router<H> {
    own_zone: ZoneName,
    // Readers hold the lock only to clone one `Arc`; the load of each server has its own lock.
    services: RwLock<HashMap<ServiceName, Servers<H>>>,
    affinity: Affinity,
}

impl<H> Router<H> {
    /// Builds a router without servers for an instance in `own_zone`.
    pub fn new(own_zone: ZoneName) -> Self {
        Self { own_zone, services: RwLock::default(), affinity: Affinity::default() }
    }

    /// Replaces the servers with the live members of the instance list.
    ///
    /// A server that remains keeps its state; `new_handle` is called for each new one. Returns the removed servers.
    pub fn update(
        &self,
        members: Vec<Member>,
        mut new_handle: impl FnMut(&Member) -> H,
    ) -> Vec<Arc<Server<H>>> {
        let mut services = self.services.write();
        let mut old: HashMap<WriterId, Arc<Server<H>>> =
            services.drain().flat_map(|(_, servers)| servers.to_vec()).map(|s| (s.id().clone(), s)).collect();
        let mut new: HashMap<ServiceName, Vec<Arc<Server<H>>>> = HashMap::new();
        for member in members {
            let kept = old.remove(&member.id).filter(|server| *server.zone() == member.zone);
            let server = kept.unwrap_or_else(|| {
                let handle = new_handle(&member);
                Arc::new(Server::new(member.id.clone(), member.zone.clone(), handle))
            });
            new.entry(member.service).or_default().push(server);
        }
        services.extend(new.into_iter().map(|(service, servers)| (service, Arc::new(servers))));
        drop(services);
        if !old.is_empty() {
            self.affinity.retain(|id| !old.contains_key(id));
        }
        old.into_values().collect()
    }

    /// Picks the server for the next attempt.
    ///
    /// # Errors
    ///
    /// Fails when no untried server of the service accepts attempts.
    pub fn pick(
        &self,
        args: &PickArgs<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Result<Arc<Server<H>>, NoServer> {
        let servers = self.servers(args.service);
        if let Some(server) = self.cached_server(&servers, args, now) {
            return Ok(server);
        }
        let usable = |s: &&Arc<Server<H>>| !args.tried.contains(s.id()) && s.load().accepts(now);
        let (local, remote): (Vec<_>, Vec<_>) =
            servers.iter().filter(usable).partition(|s| *s.zone() == self.own_zone);
        match (better_of_two(&local, rng), better_of_two(&remote, rng)) {
            (Some(local), Some(remote)) => Ok(Arc::clone(spill_over(local, remote, args.spill_over_ms))),
            (Some(server), None) | (None, Some(server)) => Ok(Arc::clone(server)),
            (None, None) => Err(NoServer { retry_at: earliest_retry_at(&servers, args.tried, now) }),
        }
    }

    /// Records that `server` has just processed the prompt prefix with the hash `prefix`.
    pub fn record_prefix(&self, prefix: u64, server: &WriterId) {
        self.affinity.insert(prefix, server);
    }

    /// Removes the prefixes of `server`. This is called when its cache events have a gap.
    pub fn remove_prefixes(&self, server: &WriterId) {
        self.affinity.retain(|id| id != server);
    }

    /// Returns the number of recorded prefixes.
    pub fn prefix_count(&self) -> usize {
        self.affinity.len()
    }

    /// Marks the servers whose time between tokens is far above the median of their service.
    pub fn mark_stragglers(&self) {
        for (_, servers) in self.all() {
            let mut times_us: Vec<u64> =
                servers.iter().map(|s| s.load().inter_token_us).filter(|us| *us > 0).collect();
            times_us.sort_unstable();
            let median = times_us.get(times_us.len() / 2).copied().unwrap_or(0);
            let has_median = times_us.len() >= MIN_SERVERS_FOR_MEDIAN;
            for server in servers.iter() {
                server.set_straggler(
                    has_median && server.load().inter_token_us * 100 > median * STRAGGLER_PERCENT,
                );
            }
        }
    }

    /// Returns the servers of `service`.
    pub fn servers(&self, service: &ServiceName) -> Servers<H> {
        self.services.read().get(service).map(Arc::clone).unwrap_or_default()
    }

    /// Returns every service with its servers.
    pub fn all(&self) -> Vec<(ServiceName, Servers<H>)> {
        self.services.read().iter().map(|(name, servers)| (name.clone(), Arc::clone(servers))).collect()
    }

    fn cached_server(
        &self,
        servers: &[Arc<Server<H>>],
        args: &PickArgs<'_>,
        now: Timestamp,
    ) -> Option<Arc<Server<H>>> {
        let find = |id: &WriterId| servers.iter().find(|s| s.id() == id).map(Arc::clone);
        let server = self.affinity.with_hint(args.prefix?, find)?;
        let load = server.load();
        if args.tried.contains(server.id()) || !load.accepts(now) || load.straggler {
            return None;
        }
        let total: u64 = servers.iter().map(|s| s.load().attempts()).sum();
        // One attempt more than the mean is always allowed; otherwise an idle service would never use its caches.
        let bound = total * AFFINITY_LOAD_PERCENT / 100 / servers.len() as u64 + 1;
        (load.attempts() <= bound).then_some(server)
    }
}

/// Returns the less loaded of two random servers ("power of two choices"). This avoids both the thundering herd on the
/// least loaded server and the cost of sorting all of them.
fn better_of_two<'a, H>(servers: &[&'a Arc<Server<H>>], rng: &mut Rng) -> Option<&'a Arc<Server<H>>> {
    let [first, rest @ ..] = servers else {
        return None;
    };
    if rest.is_empty() {
        return Some(first);
    }
    let a = rng.usize(..servers.len());
    let b = (a + rng.usize(1..servers.len())) % servers.len();
    let (a, b) = (servers[a], servers[b]);
    Some(if b.load().sort_key() < a.load().sort_key() { b } else { a })
}

fn spill_over<'a, H>(
    local: &'a Arc<Server<H>>,
    remote: &'a Arc<Server<H>>,
    spill_over_ms: u64,
) -> &'a Arc<Server<H>> {
    let remote_is_faster = remote.load().wait_ms().saturating_add(spill_over_ms) < local.load().wait_ms();
    if remote_is_faster { remote } else { local }
}

fn earliest_retry_at<H>(servers: &[Arc<Server<H>>], tried: &[WriterId], now: Timestamp) -> Option<Timestamp> {
    let loads = servers.iter().filter(|s| !tried.contains(s.id())).map(|s| s.load());
    loads.filter(|load| load.connected && load.skip_until > now).map(|load| load.skip_until).min()
}
