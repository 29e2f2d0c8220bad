//! Keeps the engine on the orders of the log.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_fencing::{GateCommand, GateSnapshot, OrderGate, OrderRecord};
use fuchsiabay_runtime::{monotonic_now, sleep_until, unix_now};
use futures_lite::future;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::Value;

use crate::{Agent, ConfigView, agent::Wake};

/// The interval of reads, in milliseconds. Orders take minutes to carry out, so seconds matter little, and 600 agents
/// that read every second would be most of the reads of the log.
const POLL_MS: u64 = 5_000;

/// The time that the log has for a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Records of one read.
const PAGE_RECORDS: usize = 100;

/// The interval in which the state of the engine is read again, in milliseconds. An engine that ignores tokens may
/// have received an old order late.
const RECONCILE_MS: u64 = 10_000;

/// The order gate of one engine.
pub(crate) struct Orders {
    gate: Mutex<OrderGate>,
    wake: Wake,
}

impl Orders {
    pub(crate) fn new() -> Self {
        Self { gate: Mutex::default(), wake: Wake::new() }
    }

    /// Has the state of the engine read again, because it may have restarted.
    pub(crate) fn invalidate_engine_state(&self) {
        self.gate.lock().invalidate_engine_state();
        self.wake.wake();
    }

    pub(crate) fn snapshot(&self, now: Timestamp) -> GateSnapshot {
        self.gate.lock().snapshot(now)
    }

    fn accept(&self, offset: u64, data: &Value) {
        let Ok(record) = OrderRecord::deserialize(data) else {
            log::warn!("agent: the order at offset {offset} is not understood");
            return;
        };
        let order = record.into_order(offset);
        log::info!("agent: order {offset}: {:?} {}", order.kind, order.target);
        if let Err(refusal) = self.gate.lock().accept(order) {
            log::warn!("agent: order {offset} refused: {refusal}");
        }
        self.wake.wake();
    }
}

/// Reads the orders of the service for ever.
pub(crate) async fn read<C: ConfigView>(agent: Arc<Agent<C>>) {
    let stream = format!("orders-{}", agent.params.service);
    let mut from = 0;
    loop {
        let next_read = monotonic_now().plus_millis(POLL_MS);
        let deadline = monotonic_now().plus_millis(READ_TIMEOUT_MS);
        match agent.log.read::<Value>(&stream, from, PAGE_RECORDS, deadline).await {
            Ok(page) => {
                from = page.next.max(from);
                for record in &page.records {
                    agent.orders.accept(record.offset, &record.data);
                }
                if page.records.len() >= PAGE_RECORDS {
                    continue;
                }
            }
            Err(error) => log::debug!("agent: orders: {error}"),
        }
        sleep_until(next_read).await;
    }
}

/// Carries out the commands of the gate for ever.
pub(crate) async fn carry_out<C: ConfigView>(agent: Arc<Agent<C>>) {
    let mut reconcile_at = monotonic_now().plus_millis(RECONCILE_MS);
    loop {
        if monotonic_now() >= reconcile_at {
            reconcile_at = monotonic_now().plus_millis(RECONCILE_MS);
            agent.orders.gate.lock().invalidate_engine_state();
        }
        // Nothing comes between the check of the deadline in the gate and the send.
        let command = agent.orders.gate.lock().next_command(unix_now());
        match command {
            Some(GateCommand::Send(order)) => {
                let outcome = agent.backend.order(&order).await;
                agent.orders.gate.lock().send_finished(unix_now(), outcome);
            }
            Some(GateCommand::ReadBack) => match agent.backend.orders().await {
                Ok(state) => agent.orders.gate.lock().state_read(state),
                Err(error) => {
                    log::debug!("agent: orders: {error}");
                    agent.orders.gate.lock().read_failed(unix_now());
                }
            },
            None => {
                let next = monotonic_now().plus_millis(POLL_MS);
                future::or(agent.orders.wake.wait(), sleep_until(next)).await;
            }
        }
    }
}
