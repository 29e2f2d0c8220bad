//! The choice of a backend server.

use std::{collections::HashMap, sync::Arc};

use fastrand::Rng;
use fuchsiabay_base::{ServiceName, Timestamp, WriterId, ZoneName};
use parking_lot::RwLock;

use crate::{Server, affinity::Affinity};

/// A cached prefix is followed only to a server with at most this many percent of the mean attempts of its service.
/// The bound keeps a popular prefix from overloading one server.
const AFFINITY_LOAD_PERCENT: u64 = 125;
/// A server is a straggler when its time between tokens is this many percent of the median of its service.
const STRAGGLER_PERCENT: u64 = 200;
/// Fewer measured servers than this give no useful median.
const MIN_SERVERS_FOR_MEDIAN: usize = 3;

/// A live instance of the instance list that serves a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance and its life.
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
    /// Servers that this request already tried.
    pub tried: &'a [WriterId],
    /// Another zone is used when its predicted wait is shorter by this many milliseconds.
    pub spill_over_ms: u64,
}

/// Why no server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoServer {
    /// When the first skipped server may be tried again, if one is skipped.
    pub retry_at: Option<Timestamp>,
}

/// The servers of one service. The list is replaced as a whole, so a pick works on one state of it.
pub type Servers<L> = Arc<Vec<Arc<Server<L>>>>;

/// Picks a backend server for each attempt.
#[derive(Debug)]
pub struct Router<L> {
    own_zone: ZoneName,
    // Readers share the lock and hold it only to clone one `Arc`; each server has its own lock for its load.
    services: RwLock<HashMap<ServiceName, Servers<L>>>,
    affinity: Affinity,
}

impl<L> Router<L> {
    /// Builds a router without servers for an instance in `own_zone`.
    pub fn new(own_zone: ZoneName) -> Self {
        Self { own_zone, services: RwLock::default(), affinity: Affinity::default() }
    }

    /// Replaces the servers by the live members of the instance list.
    ///
    /// A server that stays keeps its state; `link` is called for each new one. Returns the servers that left.
    pub fn update(&self, members: Vec<Member>, mut link: impl FnMut(&Member) -> L) -> Vec<Arc<Server<L>>> {
        let mut services = self.services.write();
        let mut old: HashMap<WriterId, Arc<Server<L>>> =
            services.drain().flat_map(|(_, servers)| servers.to_vec()).map(|s| (s.id().clone(), s)).collect();
        let mut new: HashMap<ServiceName, Vec<Arc<Server<L>>>> = HashMap::new();
        for member in members {
            let kept = old.remove(&member.id).filter(|server| *server.zone() == member.zone);
            let server = kept.unwrap_or_else(|| {
                let link = link(&member);
                Arc::new(Server::new(member.id.clone(), member.zone.clone(), link))
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

    /// Picks the server of the next attempt.
    ///
    /// # Errors
    ///
    /// Fails when no server of the service accepts attempts that was not tried yet.
    pub fn pick(
        &self,
        args: &PickArgs<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Result<Arc<Server<L>>, NoServer> {
        let servers = self.servers(args.service);
        if let Some(server) = self.cached(&servers, args, now) {
            return Ok(server);
        }
        let usable = |s: &&Arc<Server<L>>| !args.tried.contains(s.id()) && s.load().accepts(now);
        let (local, remote): (Vec<_>, Vec<_>) =
            servers.iter().filter(usable).partition(|s| *s.zone() == self.own_zone);
        match (better_of_two(&local, rng), better_of_two(&remote, rng)) {
            (Some(local), Some(remote)) => Ok(Arc::clone(spill_over(local, remote, args.spill_over_ms))),
            (Some(server), None) | (None, Some(server)) => Ok(Arc::clone(server)),
            (None, None) => Err(NoServer { retry_at: earliest_return(&servers, args.tried, now) }),
        }
    }

    /// Remembers that `server` has just read the prompt prefix with the hash `prefix`.
    pub fn remember_prefix(&self, prefix: u64, server: &WriterId) {
        self.affinity.insert(prefix, server);
    }

    /// Forgets what `server` has cached, because its cache events have a gap.
    pub fn forget_prefixes(&self, server: &WriterId) {
        self.affinity.retain(|id| id != server);
    }

    /// Returns how many prefixes are remembered.
    pub fn remembered_prefixes(&self) -> usize {
        self.affinity.len()
    }

    /// Marks the servers whose pace is far above the median of their service.
    pub fn mark_stragglers(&self) {
        for (_, servers) in self.all() {
            let mut paces: Vec<u64> =
                servers.iter().map(|s| s.load().inter_token_us).filter(|p| *p > 0).collect();
            paces.sort_unstable();
            let median = paces.get(paces.len() / 2).copied().unwrap_or(0);
            let known = paces.len() >= MIN_SERVERS_FOR_MEDIAN;
            for server in servers.iter() {
                server
                    .set_straggler(known && server.load().inter_token_us * 100 > median * STRAGGLER_PERCENT);
            }
        }
    }

    /// Returns the servers of `service`.
    pub fn servers(&self, service: &ServiceName) -> Servers<L> {
        self.services.read().get(service).map(Arc::clone).unwrap_or_default()
    }

    /// Returns every service with its servers.
    pub fn all(&self) -> Vec<(ServiceName, Servers<L>)> {
        self.services.read().iter().map(|(name, servers)| (name.clone(), Arc::clone(servers))).collect()
    }

    fn cached(
        &self,
        servers: &[Arc<Server<L>>],
        args: &PickArgs<'_>,
        now: Timestamp,
    ) -> Option<Arc<Server<L>>> {
        let find = |id: &WriterId| servers.iter().find(|s| s.id() == id).map(Arc::clone);
        let server = self.affinity.with_hint(args.prefix?, find)?;
        let load = server.load();
        if args.tried.contains(server.id()) || !load.accepts(now) || load.straggler {
            return None;
        }
        let total: u64 = servers.iter().map(|s| s.load().attempts()).sum();
        // One attempt more than the mean is always allowed, or an idle service would never use its caches.
        let bound = total * AFFINITY_LOAD_PERCENT / 100 / servers.len() as u64 + 1;
        (load.attempts() <= bound).then_some(server)
    }
}

/// Two random draws avoid both the herd on the least loaded server and the cost of a full order.
fn better_of_two<'a, L>(servers: &[&'a Arc<Server<L>>], rng: &mut Rng) -> Option<&'a Arc<Server<L>>> {
    let [first, rest @ ..] = servers else {
        return None;
    };
    if rest.is_empty() {
        return Some(first);
    }
    let a = rng.usize(..servers.len());
    let b = (a + rng.usize(1..servers.len())) % servers.len();
    let (a, b) = (servers[a], servers[b]);
    Some(if b.load().rank() < a.load().rank() { b } else { a })
}

fn spill_over<'a, L>(
    local: &'a Arc<Server<L>>,
    remote: &'a Arc<Server<L>>,
    spill_over_ms: u64,
) -> &'a Arc<Server<L>> {
    let pays = remote.load().wait_ms().saturating_add(spill_over_ms) < local.load().wait_ms();
    if pays { remote } else { local }
}

fn earliest_return<L>(servers: &[Arc<Server<L>>], tried: &[WriterId], now: Timestamp) -> Option<Timestamp> {
    let loads = servers.iter().filter(|s| !tried.contains(s.id())).map(|s| s.load());
    loads.filter(|load| load.connected && load.skip_until > now).map(|load| load.skip_until).min()
}
