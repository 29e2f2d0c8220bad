//! The agent's shared state.
//!
//! `commands` contains the operations that change the state, `queries` the read-only operations.

mod attempt_outcome;
mod commands;
mod queries;

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64},
};

use fuchsiabay_admission::{Limits, Scheduler};
use fuchsiabay_config::Preset;
use fuchsiabay_runtime::{LogClient, Peer, monotonic_now};
use fuchsiabay_settings::BackendKind;
use parking_lot::Mutex;
use smol::channel::{Receiver, Sender};

pub(crate) use attempt_outcome::AttemptOutcome;

use crate::{
    AgentParams, ConfigView, agent_metrics::AgentMetrics, attempt_table::AttemptTable,
    backend::BackendClient, claims::Claims, group::Group, orders::Orders,
};

/// How long short work waits before a long stream is paused, if long work holds more than its share of the slots, in
/// milliseconds. This is well below the target of 0.3 s for the time to first token and well above the usual run time
/// of a short stream.
const PAUSE_AFTER_MS: u64 = 50;

/// The agent beside one backend server.
///
/// All scheduling decisions are made under the scheduler's lock, which is never held across an I/O operation. The
/// attempts themselves are in a sharded table, because every token frame accesses them.
pub struct Agent<C> {
    pub(crate) params: AgentParams,
    pub(crate) config: Arc<C>,
    scheduler: Mutex<Scheduler>,
    pub(crate) attempts: AttemptTable,
    pub(crate) claims: Claims,
    pub(crate) orders: Orders,
    pub(crate) group: Option<Arc<Group>>,
    pub(crate) backend: BackendClient,
    pub(crate) log: LogClient,
    pub(crate) metrics: AgentMetrics,
    /// The connected entry instances.
    neighbours: Mutex<Vec<Peer>>,
    next_job_id: AtomicU64,
    /// Whether the instance list has marked this instance as leaving.
    leaving: AtomicBool,
    /// When the scheduler timer fires next, in milliseconds of the monotonic clock. Only an earlier deadline wakes it.
    timer_fires_at: AtomicU64,
    timer: Notify,
    /// Requests an immediate health probe after a connection to the backend server failed.
    pub(crate) probe_request: Notify,
}

/// Wakes a waiting task. Notifications that arrive before the task runs are merged into one.
#[derive(Debug)]
pub(crate) struct Notify {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Notify {
    pub(crate) fn new() -> Self {
        let (tx, rx) = smol::channel::bounded(1);
        Self { tx, rx }
    }

    pub(crate) fn notify(&self) {
        let _ = self.tx.try_send(());
    }

    pub(crate) async fn wait(&self) {
        let _ = self.rx.recv().await;
    }
}

impl<C: ConfigView> Agent<C> {
    /// Creates an agent that refuses work until its backend server has passed a health probe.
    pub fn new(params: AgentParams, config: Arc<C>) -> Arc<Self> {
        let limits = limits(&params, config.preset().as_ref());
        let mut scheduler = Scheduler::new(limits);
        scheduler.backend_down();
        let (backend, log) = (BackendClient::new(&params.backend_url), LogClient::new(&params.log_url));
        Arc::new(Self {
            scheduler: Mutex::new(scheduler),
            attempts: AttemptTable::default(),
            claims: Claims::new(&params),
            orders: Orders::new(),
            group: Group::new(&params, &backend, &log),
            backend,
            log,
            metrics: AgentMetrics::new(),
            neighbours: Mutex::default(),
            next_job_id: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            timer_fires_at: AtomicU64::new(u64::MAX),
            timer: Notify::new(),
            probe_request: Notify::new(),
            params,
            config,
        })
    }

    /// Adds a connected entry instance, from which the configuration can be pulled.
    pub(crate) fn add_neighbour(&self, peer: &Peer) {
        let mut neighbours = self.neighbours.lock();
        neighbours.retain(|other| !other.is_closed());
        neighbours.push(peer.clone());
    }

    /// Applies the limits of the preset in force and updates the load metrics.
    pub(crate) fn apply_preset(self: &Arc<Self>) {
        let limits = limits(&self.params, self.config.preset().as_ref());
        if *self.scheduler.lock().limits() != limits {
            log::info!("agent: applying the limits of a changed preset");
            self.with_scheduler(|scheduler, now| scheduler.apply_limits(now, limits));
        }
        self.metrics.set_load(&self.scheduler.lock().load(monotonic_now()));
    }
}

/// Returns the scheduler's limits under a preset. Without a preset the agent admits no work, so the values are unused.
fn limits(params: &AgentParams, preset: Option<&Preset>) -> Limits {
    let pause_after_ms = (params.kind == BackendKind::Model).then_some(PAUSE_AFTER_MS);
    Limits {
        slots: params.slots,
        queue_limit: preset.map_or(0, |preset| preset.queue_limit),
        long_share_percent: preset.map_or(100, |preset| preset.long_share_percent),
        ageing_ms: preset.map_or(1, |preset| preset.ageing_ms.0),
        long_work_tokens: preset.map_or(1, |preset| preset.long_work_tokens),
        pause_after_ms,
    }
}
