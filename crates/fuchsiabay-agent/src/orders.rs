//! Applies the operators' orders in the log to the engine.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_fencing::{GateCommand, GateStatus, OrderGate, OrderRecord};
use fuchsiabay_runtime::{monotonic_now, sleep_until, unix_now};
use futures_lite::future;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::Value;

use crate::{Agent, ConfigView, agent::Notify};

/// The interval between reads of the log, in milliseconds. Orders take minutes to execute, so a delay of seconds hardly
/// matters, and 600 agents that read every second would cause most of the log's reads.
/// An idle order gate is checked for commands at this interval too.
const POLL_INTERVAL_MS: u64 = 5_000;

/// The timeout of a read of the log, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// The maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 100;

/// The interval at which the engine's state is read back, in milliseconds. An engine that ignores fencing tokens may
/// have applied an old order that arrived late.
const RECONCILE_INTERVAL_MS: u64 = 10_000;

/// The order gate of the engine, and the notification for the task that executes its commands.
pub(crate) struct Orders {
    gate: Mutex<OrderGate>,
    wake: Notify,
}

impl Orders {
    pub(crate) fn new() -> Self {
        Self { gate: Mutex::default(), wake: Notify::new() }
    }

    /// Requests a read-back of the engine's state, because the engine may have restarted.
    pub(crate) fn invalidate_engine_state(&self) {
        self.gate.lock().invalidate_engine_state();
        self.wake.notify();
    }

    pub(crate) fn status(&self, now: Timestamp) -> GateStatus {
        self.gate.lock().status(now)
    }

    fn accept(&self, offset: u64, data: &Value) {
        let Ok(record) = OrderRecord::deserialize(data) else {
            log::warn!("agent: the order at offset {offset} cannot be parsed");
            return;
        };
        let order = record.into_order(offset);
        log::info!("agent: order {offset}: {:?} {}", order.kind, order.target);
        if let Err(refusal) = self.gate.lock().accept(order) {
            log::warn!("agent: order {offset} refused: {refusal}");
        }
        self.wake.notify();
    }
}

/// Reads the service's orders from the log. Never returns.
pub(crate) async fn follow<C: ConfigView>(agent: Arc<Agent<C>>) {
    let stream = format!("orders-{}", agent.params.service);
    let mut from = 0;
    loop {
        let next_read = monotonic_now().plus_millis(POLL_INTERVAL_MS);
        let deadline = monotonic_now().plus_millis(READ_TIMEOUT_MS);
        match agent.log.read::<Value>(&stream, from, MAX_PAGE_RECORDS, deadline).await {
            Ok(page) => {
                from = page.next.max(from);
                for record in &page.records {
                    agent.orders.accept(record.offset, &record.data);
                }
                if page.records.len() >= MAX_PAGE_RECORDS {
                    continue;
                }
            }
            Err(error) => log::debug!("agent: reading orders from the log failed: {error}"),
        }
        sleep_until(next_read).await;
    }
}

/// Executes the commands of the order gate. Never returns.
pub(crate) async fn execute<C: ConfigView>(agent: Arc<Agent<C>>) {
    let mut reconcile_at = monotonic_now().plus_millis(RECONCILE_INTERVAL_MS);
    loop {
        if monotonic_now() >= reconcile_at {
            reconcile_at = monotonic_now().plus_millis(RECONCILE_INTERVAL_MS);
            agent.orders.gate.lock().invalidate_engine_state();
        }
        // The gate checks the order's deadline here, so the order must be sent without further delay.
        let command = agent.orders.gate.lock().next_command(unix_now());
        match command {
            Some(GateCommand::Send(order)) => {
                let outcome = agent.backend.send_order(&order).await;
                agent.orders.gate.lock().send_finished(unix_now(), outcome);
            }
            Some(GateCommand::ReadBack) => match agent.backend.read_orders().await {
                Ok(state) => agent.orders.gate.lock().state_read(state),
                Err(error) => {
                    log::debug!("agent: reading orders back from the engine failed: {error}");
                    agent.orders.gate.lock().read_failed(unix_now());
                }
            },
            None => {
                let next = monotonic_now().plus_millis(POLL_INTERVAL_MS);
                future::or(agent.orders.wake.wait(), sleep_until(next)).await;
            }
        }
    }
}
