//! Connections to the agents in the instance list.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use fuchsiabay_base::{InstanceId, Timestamp, WriterId};
use fuchsiabay_routing::{Candidate, Member, choose_agents};
use fuchsiabay_runtime::{
    Instance, InstanceListClient, InstanceState, Peer, monotonic_now, sleep_until, spawn,
};
use fuchsiabay_wire::{LoadReport, Role};
use parking_lot::Mutex;
use smol::channel::Sender;

use crate::{
    agent_connection::{AgentConnection, Target},
    config_source::ConfigSource,
    entry::Entry,
};

/// The timeout for fetching the instance list, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 900;
/// The timeout for connecting to an agent, including the handshake, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The shortest interval between load polls, in milliseconds. Under traffic, the load reports in replies replace polls.
const MIN_LOAD_POLL_INTERVAL_MS: u64 = 500;
/// The size of one load poll on the wire, both ways, in bytes.
const LOAD_POLL_BYTES: u64 = 400;
/// The bandwidth budget of all load polls, in bytes per second. An instance may spend 27 KB/s on control traffic.
const MAX_LOAD_POLL_BYTES_PER_SECOND: u64 = 10_000;
/// The timeout of a load poll, in milliseconds.
const LOAD_POLL_TIMEOUT_MS: u64 = 1_000;
/// A connection is closed after this many consecutive load polls without a reply. A network partition or a stalled
/// instance does not close the connection, and its streams would wait for their deadlines instead of being resumed on
/// another server.
const UNANSWERED_POLLS_BEFORE_CLOSE: u32 = 3;
/// A connection that is no longer needed stays open for this many polls, because a request may just have picked its
/// server.
const IDLE_POLLS_BEFORE_CLOSE: u32 = 4;

/// Follows the instance list: keeps a connection to each chosen live agent and updates the router.
pub(crate) struct Membership<C> {
    entry: Arc<Entry<C>>,
    agents: Mutex<HashMap<InstanceId, Agent>>,
    /// The current interval between load polls, in milliseconds.
    load_poll_interval_ms: AtomicU64,
    load_poll_timeout_ms: u64,
}

/// A live agent in the instance list that this instance connects to.
struct Agent {
    listed: Instance,
    connection: ConnectionState,
}

enum ConnectionState {
    Down,
    Dialing,
    Up(Peer),
}

impl<C: ConfigSource> Membership<C> {
    pub(crate) fn new(entry: Arc<Entry<C>>) -> Arc<Self> {
        Self::with_load_poll_timeout(entry, LOAD_POLL_TIMEOUT_MS)
    }

    /// Builds a membership with the given timeout of load polls.
    pub(crate) fn with_load_poll_timeout(entry: Arc<Entry<C>>, load_poll_timeout_ms: u64) -> Arc<Self> {
        let load_poll_interval_ms = AtomicU64::new(MIN_LOAD_POLL_INTERVAL_MS);
        Arc::new(Self { entry, agents: Mutex::default(), load_poll_interval_ms, load_poll_timeout_ms })
    }

    /// Polls the instance list and never returns. When a poll fails, the previous list stays in use.
    pub(crate) async fn run(self: Arc<Self>, list: InstanceListClient, members: Sender<Vec<Instance>>) {
        let mut failed = false;
        loop {
            match list.fetch_changed(monotonic_now().plus_millis(LIST_TIMEOUT_MS)).await {
                Ok(Some(instances)) => {
                    failed = false;
                    self.apply(&instances);
                    // The receiver must not miss a list, because an unchanged list is not returned again.
                    let _ = members.send(instances).await;
                }
                Ok(None) => failed = false,
                Err(error) if !failed => {
                    failed = true;
                    log::warn!("entry: {error}; keeping the previous instance list");
                }
                Err(_) => {}
            }
            self.dial();
            self.entry.router.mark_stragglers();
            sleep_until(list.next_poll()).await;
        }
    }

    /// Applies an instance list: updates the router and connects to new agents.
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
        let chosen = choose_agents(&identity.instance, &identity.zone, candidates);
        let wanted: HashMap<&InstanceId, &Instance> =
            chosen.into_iter().map(|id| (id, live_agents[id])).collect();
        self.load_poll_interval_ms.store(load_poll_interval_ms(wanted.len() as u64), Ordering::Relaxed);
        let mut agents = self.agents.lock();
        agents.retain(|id, _| wanted.contains_key(id));
        for (id, instance) in wanted {
            match agents.get_mut(id) {
                // An agent at a new address is a new process, so the connection to the old address is abandoned.
                Some(agent) if agent.listed.peer == instance.peer => agent.listed = instance.clone(),
                _ => {
                    let agent = Agent { listed: instance.clone(), connection: ConnectionState::Down };
                    agents.insert(id.clone(), agent);
                }
            }
        }
        self.update_router(&agents);
        drop(agents);
        self.dial();
    }

    /// Starts to connect to each agent that has no connection.
    fn dial(self: &Arc<Self>) {
        for agent in self.agents.lock().values_mut() {
            if let ConnectionState::Down = agent.connection {
                agent.connection = ConnectionState::Dialing;
                spawn(Arc::clone(self).run_connection(agent.listed.clone())).detach();
            }
        }
    }

    /// Connects to an agent and polls its load until the connection is lost or no longer needed.
    async fn run_connection(self: Arc<Self>, instance: Instance) {
        let entry = &self.entry;
        let deadline = monotonic_now().plus_millis(CONNECT_TIMEOUT_MS);
        let connected =
            Peer::connect(instance.peer, &entry.identity, &entry.key, Arc::clone(entry), deadline).await;
        let peer = match connected {
            Ok(peer) if peer.hello().role == Role::Agent && peer.hello().instance == instance.id => peer,
            Ok(peer) => {
                log::warn!(
                    "entry: {} answered at the address of {}; disconnecting",
                    peer.hello().instance,
                    instance.id
                );
                peer.close();
                return self.mark_disconnected(&instance, None);
            }
            Err(error) => {
                log::debug!("entry: cannot connect to {}: {error}", instance.id);
                return self.mark_disconnected(&instance, None);
            }
        };
        log::info!("entry: connected to {} generation {}", instance.id, peer.hello().generation);
        self.mark_connected(&instance, &peer);
        let id = WriterId { instance: instance.id.clone(), generation: peer.hello().generation };
        if let Some(server) = self.server(&instance, &id) {
            self.run_load_polls(&server, &peer).await;
        }
        if peer.is_closed() {
            log::info!("entry: connection to {} closed", instance.id);
            self.mark_disconnected(&instance, Some(&peer));
            return self.redial_after_loss(&instance);
        }
        peer.close();
        // The agent may still be listed, with a server in another zone that shares the connection.
        self.mark_disconnected(&instance, Some(&peer));
        self.dial();
    }

    /// Polls the load of `server` until the connection closes, or until the server has left the router and its attempts
    /// have ended.
    async fn run_load_polls(&self, server: &Target, peer: &Peer) {
        let (mut idle_polls, mut unanswered_polls) = (0, 0);
        while !peer.is_closed() {
            let interval_ms = self.load_poll_interval_ms.load(Ordering::Relaxed);
            let next_poll = monotonic_now().plus_millis(interval_ms);
            let idle = !self.is_routed(server) && server.handle().open_attempts() == 0;
            idle_polls = if idle { idle_polls + 1 } else { 0 };
            if idle_polls == IDLE_POLLS_BEFORE_CLOSE {
                return;
            }
            if server.load().reported_at.plus_millis(interval_ms) <= monotonic_now() {
                let answered = self.poll_load(server, peer).await;
                unanswered_polls = if answered { 0 } else { unanswered_polls + 1 };
            }
            if unanswered_polls == UNANSWERED_POLLS_BEFORE_CLOSE {
                log::warn!("entry: {} does not reply to load polls; closing the connection", server.id());
                peer.close();
            }
            futures_lite::future::or(peer.closed(), sleep_until(next_poll)).await;
        }
        server.set_connected(false);
    }

    /// Polls the load once. Returns whether the agent has reported its load.
    ///
    /// A single missed poll does not exclude the server from selection, because after a pause of this process the polls
    /// of all agents are late at the same time.
    async fn poll_load(&self, server: &Target, peer: &Peer) -> bool {
        let polled_at = monotonic_now();
        let deadline = polled_at.plus_millis(self.load_poll_timeout_ms);
        match peer.call::<_, LoadReport>("load", &(), deadline).await {
            Ok(report) => {
                server.apply_report(report, monotonic_now());
                true
            }
            // A load report in another reply also shows that the agent is alive.
            Err(_) => server.load().reported_at > polled_at,
        }
    }

    /// Reconnects soon after a connection is lost, because an agent that restarts is back long before the next poll of
    /// the list.
    fn redial_after_loss(self: &Arc<Self>, instance: &Instance) {
        let membership = Arc::clone(self);
        let redial_at: Timestamp = monotonic_now().plus_millis(MIN_LOAD_POLL_INTERVAL_MS / 2);
        let id = instance.id.clone();
        spawn(async move {
            sleep_until(redial_at).await;
            log::debug!("entry: reconnecting to {id}");
            membership.dial();
        })
        .detach();
    }

    fn mark_connected(&self, instance: &Instance, peer: &Peer) {
        let mut agents = self.agents.lock();
        if let Some(agent) = agents.get_mut(&instance.id)
            && agent.listed.peer == instance.peer
        {
            agent.connection = ConnectionState::Up(peer.clone());
        }
        self.update_router(&agents);
    }

    /// Records that the connection `lost` closed or, without it, that connecting failed. A newer connection stays up.
    fn mark_disconnected(&self, instance: &Instance, lost: Option<&Peer>) {
        let mut agents = self.agents.lock();
        if let Some(agent) = agents.get_mut(&instance.id)
            && agent.listed.peer == instance.peer
        {
            let has_newer = match (&agent.connection, lost) {
                (ConnectionState::Up(up), Some(lost)) => up.hello().nonce != lost.hello().nonce,
                (ConnectionState::Up(_), None) => true,
                (ConnectionState::Down | ConnectionState::Dialing, _) => false,
            };
            if !has_newer {
                agent.connection = ConnectionState::Down;
            }
        }
        self.update_router(&agents);
    }

    /// Updates the router with the connected agents. Their generations come from the handshake, because the list lags
    /// behind.
    fn update_router(&self, agents: &HashMap<InstanceId, Agent>) {
        let mut peers = HashMap::new();
        let mut members = Vec::new();
        for agent in agents.values() {
            let (ConnectionState::Up(peer), Some(service)) = (&agent.connection, &agent.listed.service)
            else {
                continue;
            };
            let id = WriterId { instance: agent.listed.id.clone(), generation: peer.hello().generation };
            peers.insert(id.clone(), peer.clone());
            members.push(Member { id, zone: agent.listed.zone.clone(), service: service.clone() });
        }
        let removed =
            self.entry.router.update(members, |member| AgentConnection::new(peers[&member.id].clone()));
        for server in removed {
            server.set_connected(false);
        }
        for (_, servers) in self.entry.router.all() {
            for server in servers.iter() {
                server.set_connected(!server.handle().peer().is_closed());
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

/// Returns the interval, in milliseconds, at which load polls on that many connections stay within the bandwidth budget.
fn load_poll_interval_ms(connections: u64) -> u64 {
    (connections * LOAD_POLL_BYTES * 1_000 / MAX_LOAD_POLL_BYTES_PER_SECOND).max(MIN_LOAD_POLL_INTERVAL_MS)
}
