//! Periodic calls to the neighbours.

use std::{net::SocketAddr, sync::Arc};

use fuchsiabay_balancer::{IndexedConfig, SharedState};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::FutureExt;

use super::{
    connections::NeighbourConnections,
    service::{DirectoryUpdate, ExchangeReply, ExchangeRequest},
};
use crate::{coordinator_lease::boot_now, gateway::Gateway};

/// Interval between rounds of calls, in milliseconds. Older loads say little about requests that last one to two seconds.
const ROUND_INTERVAL_MS: u64 = 250;

/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;

/// Calls the neighbours in rounds, starting with those at `seeds`. Never returns.
pub(crate) async fn run(
    gateway: Arc<Gateway>,
    mut connections: NeighbourConnections,
    seeds: Vec<SocketAddr>,
) {
    let own_addr = gateway.settings.peer_listen;
    call_seeds(&gateway, &mut connections, &seeds).await;
    loop {
        let next_round_at = monotonic_now().plus_millis(ROUND_INTERVAL_MS);
        let is_stale = gateway.is_stale();
        // Seeds may be outdated, so they are called only while this instance has no current data.
        if is_stale {
            gateway.neighbours().refresh(seeds.iter().copied(), monotonic_now());
        }
        connections.retain(&gateway.neighbours().addrs());
        let callees = gateway.neighbours().next_round(gateway.config_version(), is_stale);
        for addr in callees {
            call(&gateway, &mut connections, own_addr, addr).await;
        }
        gateway.update_sharers();
        // Set before the loads, which assign slots.
        gateway.update_neighbour_demand(monotonic_now());
        let (loads, reporting_neighbours) = gateway.neighbours().loads(monotonic_now());
        if reporting_neighbours > 0 {
            gateway.shards().iter().for_each(|shard| shard.set_neighbour_loads(&loads));
        }
        let server_preference = gateway.neighbours().server_preference(&gateway.settings.zone);
        gateway.shards().iter().for_each(|shard| shard.set_server_preference(&server_preference));
        while wait_for_loss(&gateway, next_round_at).await {
            let callees = gateway.neighbours().next_urgent_calls();
            for addr in callees {
                call(&gateway, &mut connections, own_addr, addr).await;
            }
        }
    }
}

/// Waits until the loss of a server must be told, and returns true, or until `until`, and returns false.
async fn wait_for_loss(gateway: &Gateway, until: Timestamp) -> bool {
    let lost = async {
        gateway.loss_signal.wait().await;
        true
    };
    let passed = async {
        sleep_until(until).await;
        false
    };
    passed.or(lost).await
}

/// Calls all seeds once, each as soon as it is connected.
async fn call_seeds(gateway: &Gateway, connections: &mut NeighbourConnections, seeds: &[SocketAddr]) {
    let began_at = monotonic_now();
    gateway.neighbours().refresh(seeds.iter().copied(), began_at);
    let addrs = gateway.neighbours().next_round(gateway.config_version(), true);
    let connected = connections.connect_all(&addrs);
    while let Ok((addr, peer)) = connected.recv().await {
        connections.record(addr, peer, began_at);
        call(gateway, connections, gateway.settings.peer_listen, addr).await;
    }
    gateway.set_neighbours_called();
}

async fn call(
    gateway: &Gateway,
    connections: &mut NeighbourConnections,
    own_addr: SocketAddr,
    addr: SocketAddr,
) {
    let Some(peer) = connections.peer(addr).await else {
        return;
    };
    let (mark, crash_mark, crashes_sent) = {
        let neighbours = gateway.neighbours();
        (neighbours.mark(addr), neighbours.crash_mark(addr), neighbours.crashes_sent(addr))
    };
    let (crash_revision, crashes) = gateway.crashes().changes_since(crashes_sent, monotonic_now());
    let occupancies = gateway.crashes().own_occupancies(monotonic_now());
    let request = ExchangeRequest {
        from: own_addr,
        zone: Some(gateway.settings.zone.clone()),
        config_version: gateway.config_version(),
        mark,
        loads: gateway.load_report(addr),
        demand: Some(gateway.own_demand()),
        crash_mark,
        crashes,
        occupancies,
        drained_zones: gateway.drained_zones_request(),
    };
    let requested_at = boot_now();
    let deadline = monotonic_now().plus_millis(CALL_TIMEOUT_MS);
    let reply: Result<ExchangeReply, _> = peer.call("exchange", &request, deadline).await;
    match reply {
        Ok(reply) => {
            if let Some(update) = &reply.crashes {
                gateway.neighbours().record_crash_exchange(addr, update.mark, crash_revision);
                gateway.merge_crashes(addr, &update.reports, &update.occupancies);
            }
            apply_reply(gateway, addr, reply, requested_at);
        }
        Err(error) => {
            log::info!(neighbour:% = addr, error:% = error; "neighbours: call failed");
            connections.close(addr);
        }
    }
}

fn apply_reply(gateway: &Gateway, addr: SocketAddr, reply: ExchangeReply, requested_at: Timestamp) {
    gateway.record_loads(addr, reply.zone, reply.config_version, reply.loads);
    // Before the configuration is put in force or confirmed, so that no request is sent without knowing the zones.
    let states_zones = reply.drained_zones.is_some();
    if let Some(zones) = reply.drained_zones {
        gateway.change_drained_zones(addr, |known| known.merge(&zones));
    }
    gateway.neighbours().record_demand(addr, reply.demand, monotonic_now());
    if let Some(config) = reply.config {
        let (version, routes) = (config.version, config.routes.len());
        let in_force = gateway.apply_config(IndexedConfig::new(config));
        log::info!(version, routes, in_force, from:% = addr; "config: received from a neighbour");
    }
    // A neighbour of an earlier version does not confirm the drained zones, which are read together with the configuration.
    if let Some(age_ms) = reply.config_age_ms.filter(|_| states_zones) {
        gateway.confirm_current(SharedState::Config, requested_at, age_ms);
    }
    apply_directory_update(gateway, addr, reply.directory, requested_at);
}

fn apply_directory_update(
    gateway: &Gateway,
    addr: SocketAddr,
    update: DirectoryUpdate,
    requested_at: Timestamp,
) {
    let records = update.changes.len();
    let mut changed = 0;
    gateway.change_directory(|directory, now| {
        if let Some(epoch) = update.store_epoch {
            directory.record_epoch(epoch, now);
        }
        changed = update
            .changes
            .into_iter()
            .map(|entry| directory.merge(entry, now))
            .filter(|changed| *changed)
            .count();
        changed > 0
    });
    gateway.neighbours().set_mark(addr, update.mark);
    if let Some(age_ms) = update.age_ms {
        gateway.confirm_current(SharedState::Directory, requested_at, age_ms);
        gateway.set_directory_known();
    }
    if changed > 0 {
        log::info!(records, changed, from:% = addr; "directory: received from a neighbour");
    }
}
