//! Connections to the agents of the instance list.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use fuchsiabay_base::{InstanceId, Timestamp, WriterId};
use fuchsiabay_routing::{Candidate, Member, choose_links};
use fuchsiabay_runtime::{
    Instance, InstanceListClient, InstanceState, Peer, monotonic_now, sleep_until, spawn,
};
use fuchsiabay_wire::{LoadReport, Role};
use parking_lot::Mutex;
use smol::channel::Sender;

use crate::{
    agent_link::{AgentLink, Target},
    config_source::ConfigSource,
    entry::Entry,
};

/// The time that the list has to answer, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 900;
/// The time that a connection to an agent may take, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The shortest interval of load reports, in milliseconds. Reports in replies make the poll unnecessary under traffic.
const LOAD_POLL_MS: u64 = 500;
/// The bytes of one poll on the wire, both ways.
const LOAD_POLL_BYTES: u64 = 400;
/// What all load polls may cost, in bytes per second. A node may spend 27 KB/s on control.
const LOAD_BYTES_PER_SECOND: u64 = 10_000;
/// The time that an agent has to report its load, in milliseconds.
const LOAD_TIMEOUT_MS: u64 = 1_000;
/// A connection without so many reports in a row is closed. A partition or a stalled instance closes nothing by itself,
/// and the streams on such a connection would wait for their deadlines instead of moving.
const UNANSWERED_POLLS_BEFORE_CLOSE: u32 = 3;
/// A connection that is no longer needed stays open for this many polls, for a request that picked it just before.
const IDLE_POLLS_BEFORE_CLOSE: u32 = 4;

/// Keeps one connection to each live agent and the router up to date.
pub(crate) struct Membership<C> {
    entry: Arc<Entry<C>>,
    agents: Mutex<HashMap<InstanceId, Agent>>,
    /// The present interval of load polls, in milliseconds.
    load_poll_ms: AtomicU64,
    load_timeout_ms: u64,
}

/// A live agent of the list.
struct Agent {
    listed: Instance,
    link: Link,
}

enum Link {
    Down,
    Dialing,
    Up(Peer),
}

impl<C: ConfigSource> Membership<C> {
    pub(crate) fn new(entry: Arc<Entry<C>>) -> Arc<Self> {
        Self::with_load_timeout(entry, LOAD_TIMEOUT_MS)
    }

    /// Gives agents another time to report their load.
    pub(crate) fn with_load_timeout(entry: Arc<Entry<C>>, load_timeout_ms: u64) -> Arc<Self> {
        let load_poll_ms = AtomicU64::new(LOAD_POLL_MS);
        Arc::new(Self { entry, agents: Mutex::default(), load_poll_ms, load_timeout_ms })
    }

    /// Polls the instance list for ever. A list that fails leaves the last one in use.
    pub(crate) async fn run(self: Arc<Self>, list: InstanceListClient, members: Sender<Vec<Instance>>) {
        let mut failed = false;
        loop {
            match list.fetch_changed(monotonic_now().plus_millis(LIST_TIMEOUT_MS)).await {
                Ok(Some(instances)) => {
                    failed = false;
                    self.apply(&instances);
                    // The receiver must not miss a list, because an unchanged one is not fetched again.
                    let _ = members.send(instances).await;
                }
                Ok(None) => failed = false,
                Err(error) if !failed => {
                    failed = true;
                    log::warn!("entry: {error}; the last instance list stays in use");
                }
                Err(_) => {}
            }
            self.dial();
            self.entry.router.mark_stragglers();
            sleep_until(list.next_poll()).await;
        }
    }

    /// Takes an instance list over and connects to new agents.
    pub(crate) fn apply(self: &Arc<Self>, instances: &[Instance]) {
        let live = |i: &&Instance| i.state == InstanceState::Live;
        let entries = instances.iter().filter(live).filter(|i| i.role == Role::Entry).count();
        self.entry.live_entries.store(entries.max(1) as u64, Ordering::Relaxed);
        let live_agents: HashMap<&InstanceId, &Instance> = instances
            .iter()
            .filter(live)
            .filter(|i| i.role == Role::Agent && i.service.is_some())
            .map(|i| (&i.id, i))
            .collect();
        let candidates = live_agents
            .values()
            .filter_map(|i| Some(Candidate { service: i.service.as_ref()?, zone: &i.zone, id: &i.id }));
        let identity = &self.entry.identity;
        let links = choose_links(&identity.instance, &identity.zone, candidates);
        let wanted: HashMap<&InstanceId, &Instance> =
            links.into_iter().map(|id| (id, live_agents[id])).collect();
        self.load_poll_ms.store(load_poll_ms(wanted.len() as u64), Ordering::Relaxed);
        let mut agents = self.agents.lock();
        agents.retain(|id, _| wanted.contains_key(id));
        for (id, instance) in wanted {
            match agents.get_mut(id) {
                // An agent that moved to another address is another process, and its old connection is void.
                Some(agent) if agent.listed.peer == instance.peer => agent.listed = instance.clone(),
                _ => {
                    let agent = Agent { listed: instance.clone(), link: Link::Down };
                    agents.insert(id.clone(), agent);
                }
            }
        }
        self.publish(&agents);
        drop(agents);
        self.dial();
    }

    /// Connects to the agents without a connection.
    fn dial(self: &Arc<Self>) {
        for agent in self.agents.lock().values_mut() {
            if let Link::Down = agent.link {
                agent.link = Link::Dialing;
                spawn(Arc::clone(self).connect(agent.listed.clone())).detach();
            }
        }
    }

    async fn connect(self: Arc<Self>, instance: Instance) {
        let entry = &self.entry;
        let deadline = monotonic_now().plus_millis(CONNECT_TIMEOUT_MS);
        let connected =
            Peer::connect(instance.peer, &entry.identity, &entry.key, Arc::clone(entry), deadline).await;
        let peer = match connected {
            Ok(peer) if peer.hello().role == Role::Agent && peer.hello().instance == instance.id => peer,
            Ok(peer) => {
                log::warn!("entry: {} answers at the address of {}", peer.hello().instance, instance.id);
                peer.close();
                return self.set_down(&instance, None);
            }
            Err(error) => {
                log::debug!("entry: cannot connect to {}: {error}", instance.id);
                return self.set_down(&instance, None);
            }
        };
        log::info!("entry: connected to {} generation {}", instance.id, peer.hello().generation);
        self.set_up(&instance, &peer);
        let id = WriterId { instance: instance.id.clone(), generation: peer.hello().generation };
        if let Some(server) = self.server(&instance, &id) {
            self.watch(&server, &peer).await;
        }
        if peer.is_closed() {
            log::info!("entry: connection to {} closed", instance.id);
            self.set_down(&instance, Some(&peer));
            return self.dial_after_loss(&instance);
        }
        peer.close();
    }

    /// Polls the load of `server` until its connection closes or it has left the list and its attempts have ended.
    async fn watch(&self, server: &Target, peer: &Peer) {
        let (mut idle_polls, mut unanswered) = (0, 0);
        while !peer.is_closed() {
            let poll_ms = self.load_poll_ms.load(Ordering::Relaxed);
            let next_poll = monotonic_now().plus_millis(poll_ms);
            let idle = !self.is_routed(server) && server.link().open_attempts() == 0;
            idle_polls = if idle { idle_polls + 1 } else { 0 };
            if idle_polls == IDLE_POLLS_BEFORE_CLOSE {
                return;
            }
            if server.load().reported_at.plus_millis(poll_ms) <= monotonic_now() {
                let answered = self.poll_load(server, peer).await;
                unanswered = if answered { 0 } else { unanswered + 1 };
            }
            if unanswered == UNANSWERED_POLLS_BEFORE_CLOSE {
                log::warn!("entry: {} does not report its load; closing the connection", server.id());
                peer.close();
            }
            futures_lite::future::or(peer.closed(), sleep_until(next_poll)).await;
        }
        server.set_connected(false);
    }

    /// Asks for the load. Returns whether the agent answered.
    ///
    /// A single miss does not take the server out of the choice: after a pause of this process, the polls of all agents
    /// are late at the same time.
    async fn poll_load(&self, server: &Target, peer: &Peer) -> bool {
        let asked_at = monotonic_now();
        let deadline = asked_at.plus_millis(self.load_timeout_ms);
        match peer.call::<_, LoadReport>("load", &(), deadline).await {
            Ok(report) => {
                server.apply_report(report, monotonic_now());
                true
            }
            // Reports in replies show that the agent is alive, too.
            Err(_) => server.load().reported_at > asked_at,
        }
    }

    /// An agent that restarts is back long before the next poll of the list.
    fn dial_after_loss(self: &Arc<Self>, instance: &Instance) {
        let membership = Arc::clone(self);
        let wait_until: Timestamp = monotonic_now().plus_millis(LOAD_POLL_MS / 2);
        let id = instance.id.clone();
        spawn(async move {
            sleep_until(wait_until).await;
            log::debug!("entry: connecting to {id} again");
            membership.dial();
        })
        .detach();
    }

    fn set_up(&self, instance: &Instance, peer: &Peer) {
        let mut agents = self.agents.lock();
        if let Some(agent) = agents.get_mut(&instance.id)
            && agent.listed.peer == instance.peer
        {
            agent.link = Link::Up(peer.clone());
        }
        self.publish(&agents);
    }

    /// Notes that `lost`, or the attempt to connect, came to an end. A newer connection stays.
    fn set_down(&self, instance: &Instance, lost: Option<&Peer>) {
        let mut agents = self.agents.lock();
        if let Some(agent) = agents.get_mut(&instance.id)
            && agent.listed.peer == instance.peer
        {
            let newer = match (&agent.link, lost) {
                (Link::Up(up), Some(lost)) => up.hello().nonce != lost.hello().nonce,
                (Link::Up(_), None) => true,
                (Link::Down | Link::Dialing, _) => false,
            };
            if !newer {
                agent.link = Link::Down;
            }
        }
        self.publish(&agents);
    }

    /// Gives the connected agents to the router. Their generation is the one that they stated themselves, because the
    /// list lags.
    fn publish(&self, agents: &HashMap<InstanceId, Agent>) {
        let mut peers = HashMap::new();
        let mut members = Vec::new();
        for agent in agents.values() {
            let (Link::Up(peer), Some(service)) = (&agent.link, &agent.listed.service) else {
                continue;
            };
            let id = WriterId { instance: agent.listed.id.clone(), generation: peer.hello().generation };
            peers.insert(id.clone(), peer.clone());
            members.push(Member { id, zone: agent.listed.zone.clone(), service: service.clone() });
        }
        let left = self.entry.router.update(members, |member| AgentLink::new(peers[&member.id].clone()));
        for server in left {
            server.set_connected(false);
        }
        for (_, servers) in self.entry.router.all() {
            for server in servers.iter() {
                server.set_connected(!server.link().peer().is_closed());
            }
        }
    }

    fn server(&self, instance: &Instance, id: &WriterId) -> Option<Target> {
        let servers = self.entry.router.servers(instance.service.as_ref()?);
        servers.iter().find(|s| s.id() == id).map(Arc::clone)
    }

    fn is_routed(&self, server: &Target) -> bool {
        let mut services = self.entry.router.all().into_iter();
        services.any(|(_, servers)| servers.iter().any(|s| Arc::ptr_eq(s, server)))
    }
}

/// Returns the interval of load polls that keeps `links` connections within the budget, in milliseconds.
fn load_poll_ms(links: u64) -> u64 {
    (links * LOAD_POLL_BYTES * 1_000 / LOAD_BYTES_PER_SECOND).max(LOAD_POLL_MS)
}
