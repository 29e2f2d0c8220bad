//! Sends orders to several ranks and reads the states of several ranks, concurrently.

use std::sync::Arc;

use fuchsiabay_balancer::ServerRecord;
use fuchsiabay_lockstep::{Order, OrderReply, RankState};
use fuchsiabay_runtime::spawn;
use smol::lock::Semaphore;

use super::{EngineControl, EngineReport};
use crate::coordinator_lease::CoordinatorLease;

/// The maximum number of concurrent calls to the ranks of a group. With more, the responses wait for the link and the
/// processor of this instance, and the calls time out although the agents respond at once.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Makes a call for each item, a limited number at a time. Returns the results in the same sequence.
pub(super) async fn call_each<T, R, F>(items: Vec<T>, call: impl Fn(T) -> F) -> Vec<R>
where
    F: Future<Output = R> + Send + 'static,
    R: Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut tasks = Vec::with_capacity(items.len());
    for item in items {
        let permit = permits.acquire_arc().await;
        let call = call(item);
        tasks.push(spawn(async move {
            let result = call.await;
            drop(permit);
            result
        }));
    }
    let mut results = Vec::with_capacity(tasks.len());
    for task in tasks {
        results.push(task.await);
    }
    results
}

/// Sends `orders` to the given ranks concurrently. Returns each with its reply, in the same sequence.
///
/// The coordinator lease is checked before each order, because the first orders of a large group may take longer than the
/// rest of the lease. An order that is not sent counts as unanswered.
pub(super) async fn send_all<E: EngineControl>(
    lease: &CoordinatorLease,
    engines: &Arc<E>,
    ranks: &[Arc<ServerRecord>],
    epoch: u64,
    orders: Vec<(usize, Order)>,
) -> Vec<(usize, Order, OrderReply)> {
    let replies = call_each(orders, |(rank, order)| {
        let (engines, server) = (engines.clone(), ranks[rank].clone());
        let via = ranks[relaying_rank(rank, &order, ranks.len())].clone();
        let may_send = lease.is_held();
        async move {
            let reply = match may_send {
                true => engines.send_order(&server, &via, epoch, &order).await,
                false => OrderReply::Unanswered,
            };
            (rank, order, reply)
        }
    })
    .await;
    for (rank, order, reply) in &replies {
        let (rank, reply) = (*rank, *reply);
        metrics::counter!("fuchsiabay_orders_total", "order" => order.as_str(), "reply" => reply_name(reply))
            .increment(1);
        if reply != OrderReply::Accepted {
            log::info!(
                server = ranks[rank].id.as_str(), rank, order = order.as_str(), epoch, reply = reply_name(reply);
                "group: order not accepted"
            );
        }
    }
    replies
}

/// Returns the rank whose instance relays `order` to `rank`.
///
/// A hold is relayed by another instance than the one it applies to. If the relaying instance stops immediately
/// afterwards, the held rank can still be released.
fn relaying_rank(rank: usize, order: &Order, ranks: usize) -> usize {
    match order {
        Order::Hold { .. } => (rank + 1) % ranks,
        _ => rank,
    }
}

/// Reads the states of `servers` concurrently. Servers that do not respond and servers in no group are left out.
pub(super) async fn read_states<E: EngineControl>(
    engines: &Arc<E>,
    servers: &[Arc<ServerRecord>],
) -> Vec<(Arc<ServerRecord>, String, RankState)> {
    rank_states(read_reports(engines, servers).await)
}

/// Reads the reports of `servers` concurrently. Servers that do not respond are left out.
pub(super) async fn read_reports<E: EngineControl>(
    engines: &Arc<E>,
    servers: &[Arc<ServerRecord>],
) -> Vec<(Arc<ServerRecord>, EngineReport)> {
    let results = call_each(servers.to_vec(), |server| {
        let engines = engines.clone();
        async move {
            let report = engines.report(&server).await;
            (server, report)
        }
    })
    .await;
    let mut reports = Vec::with_capacity(results.len());
    for (server, report) in results {
        match report {
            Ok(report) => reports.push((server, report)),
            Err(error) => log::debug!("group: failed to read the report of a rank: {error}"),
        }
    }
    reports
}

/// Returns the states of the ranks in `reports`. Servers in no group are left out.
pub(super) fn rank_states(
    reports: Vec<(Arc<ServerRecord>, EngineReport)>,
) -> Vec<(Arc<ServerRecord>, String, RankState)> {
    let states = reports.into_iter().filter_map(|(server, report)| {
        let (group, state) = report.rank?;
        Some((server, group, state))
    });
    states.collect()
}

fn reply_name(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Accepted => "accepted",
        OrderReply::Conflict => "conflict",
        OrderReply::Unanswered => "unanswered",
    }
}
