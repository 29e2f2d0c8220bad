//! Calls the neighbours in turn.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fuchsiabay_balancer::{IndexedConfig, SharedState};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use super::{
    connections::NeighbourConnections,
    service::{DirectoryUpdate, ExchangeReply, ExchangeRequest},
};
use crate::{coordinator_lease::boot_now, gateway::Gateway};

/// The interval of the rounds. A load that is older says little about requests that last one to two seconds.
const ROUND: Duration = Duration::from_millis(250);

/// The time that a call may take, in milliseconds.
const CALL_MS: u64 = 400;

/// Calls the neighbours for ever. The first ones are found at `seeds`.
pub(crate) async fn run(
    gateway: Arc<Gateway>,
    mut connections: NeighbourConnections,
    seeds: Vec<SocketAddr>,
) {
    let own = gateway.settings.peer_listen;
    loop {
        let is_stale = gateway.is_stale();
        // Seeds may be stale, so they are only asked as long as nothing better is known.
        if is_stale {
            gateway.neighbours().note_known(seeds.iter().copied(), monotonic_now());
        }
        connections.retain(&gateway.neighbours().addrs());
        let callees = gateway.neighbours().next_round(gateway.config_version(), is_stale);
        for addr in callees {
            call(&gateway, &mut connections, own, addr).await;
        }
        let (loads, tellers) = gateway.neighbours().loads(monotonic_now());
        if tellers > 0 {
            gateway.shards().iter().for_each(|shard| shard.set_neighbour_loads(&loads));
        }
        Timer::after(ROUND).await;
    }
}

async fn call(gateway: &Gateway, connections: &mut NeighbourConnections, own: SocketAddr, addr: SocketAddr) {
    let Some(peer) = connections.peer(addr).await else {
        return;
    };
    let request = ExchangeRequest {
        from: own,
        config_version: gateway.config_version(),
        mark: gateway.neighbours().mark(addr),
        loads: gateway.own_loads(),
    };
    let asked_at = boot_now();
    let deadline = monotonic_now().plus_millis(CALL_MS);
    let reply: Result<ExchangeReply, _> = peer.call("exchange", &request, deadline).await;
    match reply {
        Ok(reply) => take_over(gateway, addr, reply, asked_at),
        Err(error) => {
            log::info!(neighbour:% = addr, error:% = error; "neighbours: no reply");
            connections.drop_peer(addr);
        }
    }
}

fn take_over(gateway: &Gateway, addr: SocketAddr, reply: ExchangeReply, asked_at: Timestamp) {
    gateway.neighbours().note_exchange(addr, reply.config_version, reply.loads, monotonic_now());
    if let Some(config) = reply.config {
        let (version, routes) = (config.version, config.routes.len());
        let in_force = gateway.apply_config(IndexedConfig::new(config));
        log::info!(version, routes, in_force, from:% = addr; "config: received from a neighbour");
    }
    if let Some(age_ms) = reply.config_age_ms {
        gateway.confirm_current(SharedState::Config, asked_at, age_ms);
    }
    take_over_directory(gateway, addr, reply.directory, asked_at);
}

fn take_over_directory(gateway: &Gateway, addr: SocketAddr, news: DirectoryUpdate, asked_at: Timestamp) {
    let records = news.changes.len();
    let mut changed = 0;
    gateway.change_directory(|directory, now| {
        changed = news
            .changes
            .into_iter()
            .map(|entry| directory.merge(entry, now))
            .filter(|changed| *changed)
            .count();
        changed > 0
    });
    gateway.neighbours().set_mark(addr, news.mark);
    if let Some(age_ms) = news.age_ms {
        gateway.confirm_current(SharedState::Directory, asked_at, age_ms);
        gateway.set_directory_known();
    }
    if changed > 0 {
        log::info!(records, changed, from:% = addr; "directory: received from a neighbour");
    }
}
