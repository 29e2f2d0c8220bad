//! Sends orders to several ranks and reads the states of several ranks, concurrently.

use std::sync::Arc;

use fuchsiabay_balancer::ServerRecord;
use fuchsiabay_lockstep::{Order, OrderReply, RankState};
use fuchsiabay_runtime::spawn;

use super::EngineControl;

/// Sends `orders` to the given ranks concurrently. Returns each with its reply, in the same sequence.
pub(super) async fn send_all<E: EngineControl>(
    engines: &Arc<E>,
    ranks: &[Arc<ServerRecord>],
    epoch: u64,
    orders: Vec<(usize, Order)>,
) -> Vec<(usize, Order, OrderReply)> {
    let mut tasks = Vec::with_capacity(orders.len());
    for (rank, order) in orders {
        let (engines, server, sent) = (engines.clone(), ranks[rank].clone(), order.clone());
        let via = ranks[relaying_rank(rank, &order, ranks.len())].clone();
        let task = spawn(async move { engines.send_order(&server, &via, epoch, &sent).await });
        tasks.push((rank, order, task));
    }
    let mut replies = Vec::with_capacity(tasks.len());
    for (rank, order, task) in tasks {
        let reply = task.await;
        metrics::counter!("fuchsiabay_orders_total", "order" => order.as_str(), "reply" => reply_name(reply))
            .increment(1);
        if reply != OrderReply::Accepted {
            log::info!(
                server = ranks[rank].id.as_str(), rank, order = order.as_str(), epoch, reply = reply_name(reply);
                "group: order not accepted"
            );
        }
        replies.push((rank, order, reply));
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
    let mut tasks = Vec::with_capacity(servers.len());
    for server in servers {
        let (engines, queried) = (engines.clone(), server.clone());
        tasks.push((server.clone(), spawn(async move { engines.state(&queried).await })));
    }
    let mut states = Vec::with_capacity(tasks.len());
    for (server, task) in tasks {
        match task.await {
            Ok(Some((group, state))) => states.push((server, group, state)),
            Ok(None) => {}
            Err(error) => log::info!(error:% = error; "group: failed to read the state of a rank"),
        }
    }
    states
}

fn reply_name(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Accepted => "accepted",
        OrderReply::Conflict => "conflict",
        OrderReply::Unanswered => "unanswered",
    }
}
