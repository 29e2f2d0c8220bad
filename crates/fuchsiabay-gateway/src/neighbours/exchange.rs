//! Calls the neighbours in turn.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fuchsiabay_balancer::Serving;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use super::{
    links::Links,
    service::{ExchangeReply, ExchangeRequest},
};
use crate::gateway::Gateway;

/// The interval of the rounds. A load that is older says little about requests that last one to two seconds.
const ROUND: Duration = Duration::from_millis(250);

/// Neighbours that are called in one round. It bounds the cost where there are many.
const CALLS_PER_ROUND: usize = 8;

/// The time that a call may take, in milliseconds.
const CALL_MS: u64 = 400;

/// Calls the neighbours for ever. The first ones are found at `seeds`.
pub(crate) async fn run(gateway: Arc<Gateway>, mut links: Links, seeds: Vec<SocketAddr>) {
    let own = gateway.settings.peer_listen;
    let mut round = 0_usize;
    loop {
        // Seeds may be stale, so they are only asked as long as nothing better is known.
        if !gateway.is_informed() {
            gateway.neighbours().note_known(seeds.iter().copied());
        }
        let addrs: Vec<SocketAddr> =
            gateway.neighbours().addrs().into_iter().filter(|addr| *addr != own).collect();
        links.retain(&addrs);
        for addr in chosen(&gateway, own, &addrs, round) {
            call(&gateway, &mut links, own, addr).await;
        }
        let (loads, tellers) = gateway.neighbours().loads();
        if tellers > 0 {
            gateway.shards().iter().for_each(|shard| shard.note_others(&loads));
        }
        round = round.wrapping_add(1);
        Timer::after(ROUND).await;
    }
}

/// Returns the neighbours to call in this round.
///
/// One call carries the loads both ways, so of two instances only the one with the lower address calls, unless it is the other
/// one that lacks something.
fn chosen(gateway: &Gateway, own: SocketAddr, addrs: &[SocketAddr], round: usize) -> Vec<SocketAddr> {
    let version = gateway.config_version();
    let lacks = !gateway.is_informed();
    let wanted = |addr: &&SocketAddr| lacks || own < **addr || gateway.neighbours().is_ahead(**addr, version);
    let wanted: Vec<SocketAddr> = addrs.iter().filter(wanted).copied().collect();
    let n = wanted.len().min(CALLS_PER_ROUND);
    (0..n).map(|i| wanted[(round * CALLS_PER_ROUND + i) % wanted.len()]).collect()
}

async fn call(gateway: &Gateway, links: &mut Links, own: SocketAddr, addr: SocketAddr) {
    let Some(peer) = links.peer(addr).await else {
        return;
    };
    let request = ExchangeRequest {
        from: own,
        config_version: gateway.config_version(),
        wants_directory: !gateway.reads_directory(),
        loads: gateway.own_loads(),
    };
    let deadline = monotonic_now().plus_millis(CALL_MS);
    let reply: Result<ExchangeReply, _> = peer.call("exchange", &request, deadline).await;
    match reply {
        Ok(reply) => take_over(gateway, addr, reply),
        Err(error) => {
            log::info!(neighbour:% = addr, error:% = error; "neighbours: no reply");
            links.drop_peer(addr);
        }
    }
}

fn take_over(gateway: &Gateway, addr: SocketAddr, reply: ExchangeReply) {
    gateway.neighbours().note_told(addr, reply.config_version, reply.loads);
    if let Some(config) = reply.config {
        let (version, routes) = (config.version, config.routes.len());
        let in_force = gateway.offer_config(Serving::new(config));
        log::info!(version, routes, in_force, from:% = addr; "config: received from a neighbour");
    }
    let Some(changes) = reply.directory else {
        return;
    };
    let count = changes.len();
    let mut changed = 0;
    gateway.change_directory(|directory, now| {
        changed = changes.into_iter().filter(|change| directory.apply(change.clone(), now)).count();
        changed > 0
    });
    gateway.set_directory_known();
    if changed > 0 {
        log::info!(records = count, changed, from:% = addr; "directory: received from a neighbour");
    }
}
