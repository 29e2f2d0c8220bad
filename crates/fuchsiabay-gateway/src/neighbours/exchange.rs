//! Calls the neighbours in turn.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fuchsiabay_balancer::{IndexedConfig, SharedState};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use super::{
    links::Links,
    service::{DirectoryNews, ExchangeReply, ExchangeRequest},
};
use crate::{duty::boot_now, gateway::Gateway};

/// The interval of the rounds. A load that is older says little about requests that last one to two seconds.
const ROUND: Duration = Duration::from_millis(250);

/// The time that a call may take, in milliseconds.
const CALL_MS: u64 = 400;

/// Calls the neighbours for ever. The first ones are found at `seeds`.
pub(crate) async fn run(gateway: Arc<Gateway>, mut links: Links, seeds: Vec<SocketAddr>) {
    let own = gateway.settings.peer_listen;
    loop {
        let lacks_news = gateway.lacks_news();
        // Seeds may be stale, so they are only asked as long as nothing better is known.
        if lacks_news {
            gateway.neighbours().note_known(seeds.iter().copied(), monotonic_now());
        }
        links.retain(&gateway.neighbours().addrs());
        let callees = gateway.neighbours().next_round(gateway.config_version(), lacks_news);
        for addr in callees {
            call(&gateway, &mut links, own, addr).await;
        }
        let (loads, tellers) = gateway.neighbours().loads(monotonic_now());
        if tellers > 0 {
            gateway.shards().iter().for_each(|shard| shard.note_others(&loads));
        }
        Timer::after(ROUND).await;
    }
}

async fn call(gateway: &Gateway, links: &mut Links, own: SocketAddr, addr: SocketAddr) {
    let Some(peer) = links.peer(addr).await else {
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
            links.drop_peer(addr);
        }
    }
}

fn take_over(gateway: &Gateway, addr: SocketAddr, reply: ExchangeReply, asked_at: Timestamp) {
    gateway.neighbours().note_exchange(addr, reply.config_version, reply.loads, monotonic_now());
    if let Some(config) = reply.config {
        let (version, routes) = (config.version, config.routes.len());
        let in_force = gateway.offer_config(IndexedConfig::new(config));
        log::info!(version, routes, in_force, from:% = addr; "config: received from a neighbour");
    }
    if let Some(age_ms) = reply.config_age_ms {
        gateway.prove(SharedState::Config, asked_at, age_ms);
    }
    take_over_directory(gateway, addr, reply.directory, asked_at);
}

fn take_over_directory(gateway: &Gateway, addr: SocketAddr, news: DirectoryNews, asked_at: Timestamp) {
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
        gateway.prove(SharedState::Directory, asked_at, age_ms);
        gateway.set_directory_known();
    }
    if changed > 0 {
        log::info!(records, changed, from:% = addr; "directory: received from a neighbour");
    }
}
