//! Sends orders to several ranks at the same time.

use std::sync::Arc;

use fuchsiabay_balancer::ServerRecord;
use fuchsiabay_lockstep::{Order, OrderReply, RankState};
use fuchsiabay_runtime::spawn;

use super::EngineControl;

/// Sends `orders` and returns the replies in the same order.
pub(super) async fn send_all<E: EngineControl>(
    engines: &Arc<E>,
    ranks: &[Arc<ServerRecord>],
    epoch: u64,
    orders: Vec<(usize, Order)>,
) -> Vec<(usize, Order, OrderReply)> {
    let mut tasks = Vec::with_capacity(orders.len());
    for (rank, order) in orders {
        let (engines, server, sent) = (engines.clone(), ranks[rank].clone(), order.clone());
        let via = ranks[via_rank(rank, &order, ranks.len())].clone();
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

/// Returns the rank whose instance gives `order` to `rank`.
///
/// A hold comes from another instance than the one that it holds. If the instance that gave it stops right afterwards, the
/// held rank can still be told to go on.
fn via_rank(rank: usize, order: &Order, ranks: usize) -> usize {
    match order {
        Order::Hold { .. } => (rank + 1) % ranks,
        _ => rank,
    }
}

/// Asks `servers` for their states. Servers that do not answer are left out.
pub(super) async fn read_states<E: EngineControl>(
    engines: &Arc<E>,
    servers: &[Arc<ServerRecord>],
) -> Vec<(Arc<ServerRecord>, String, RankState)> {
    let mut tasks = Vec::with_capacity(servers.len());
    for server in servers {
        let (engines, asked) = (engines.clone(), server.clone());
        tasks.push((server.clone(), spawn(async move { engines.state(&asked).await })));
    }
    let mut states = Vec::with_capacity(tasks.len());
    for (server, task) in tasks {
        match task.await {
            Ok(Some((group, state))) => states.push((server, group, state)),
            Ok(None) => {}
            Err(error) => log::info!(error:% = error; "group: state not read"),
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
