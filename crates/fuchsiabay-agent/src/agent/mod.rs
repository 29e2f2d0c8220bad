//! The agent.
//!
//! `commands` holds what changes its state, `queries` what only reads it.

mod commands;
mod ending;
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

pub(crate) use ending::Ending;

use crate::{
    AgentParams, ConfigView, attempts::Attempts, backend::BackendClient, claims::Claims, group::Group,
    meters::Meters, orders::Orders,
};

/// The wait of short work after which a long stream beyond the share of long work is paused, in milliseconds. It is
/// well below a time to first token of 0.3 s and well above the time in which a short stream ends by itself.
const PAUSE_AFTER_MS: u64 = 50;

/// The agent beside one backend server.
///
/// All decisions about attempts pass the scheduler under one lock, which is never held across an I/O operation. The
/// attempts themselves are kept in shards, because each frame touches them.
pub struct Agent<C> {
    pub(crate) params: AgentParams,
    pub(crate) config: Arc<C>,
    scheduler: Mutex<Scheduler>,
    pub(crate) attempts: Attempts,
    pub(crate) claims: Claims,
    pub(crate) orders: Orders,
    pub(crate) group: Option<Arc<Group>>,
    pub(crate) backend: BackendClient,
    pub(crate) log: LogClient,
    pub(crate) meters: Meters,
    neighbours: Mutex<Vec<Peer>>,
    next_job: AtomicU64,
    /// Whether the list says that this instance is leaving.
    leaving: AtomicBool,
    /// When the timer of the scheduler fires, so that only an earlier deadline wakes it.
    timer_at: AtomicU64,
    timer: Wake,
    /// Asks for a health probe, because a connection to the backend server broke.
    pub(crate) probe: Wake,
}

/// Wakes one task. Several wakes before it runs count as one.
#[derive(Debug)]
pub(crate) struct Wake {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Wake {
    pub(crate) fn new() -> Self {
        let (tx, rx) = smol::channel::bounded(1);
        Self { tx, rx }
    }

    pub(crate) fn wake(&self) {
        let _ = self.tx.try_send(());
    }

    pub(crate) async fn wait(&self) {
        let _ = self.rx.recv().await;
    }
}

impl<C: ConfigView> Agent<C> {
    /// Creates an agent that takes no work before its backend server has answered a probe.
    pub fn new(params: AgentParams, config: Arc<C>) -> Arc<Self> {
        let limits = limits(&params, config.preset().as_ref());
        let mut scheduler = Scheduler::new(limits);
        scheduler.backend_down();
        let (backend, log) = (BackendClient::new(&params.backend_url), LogClient::new(&params.log_url));
        Arc::new(Self {
            scheduler: Mutex::new(scheduler),
            attempts: Attempts::default(),
            claims: Claims::new(&params),
            orders: Orders::new(),
            group: Group::new(&params, &backend, &log),
            backend,
            log,
            meters: Meters::new(),
            neighbours: Mutex::default(),
            next_job: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            timer_at: AtomicU64::new(u64::MAX),
            timer: Wake::new(),
            probe: Wake::new(),
            params,
            config,
        })
    }

    /// Remembers a connected entry instance, from which the configuration can be pulled.
    pub(crate) fn add_neighbour(&self, peer: &Peer) {
        let mut neighbours = self.neighbours.lock();
        neighbours.retain(|other| !other.is_closed());
        neighbours.push(peer.clone());
    }

    /// Puts the limits of the preset in force.
    pub(crate) fn apply_preset(self: &Arc<Self>) {
        let limits = limits(&self.params, self.config.preset().as_ref());
        if *self.scheduler.lock().limits() != limits {
            log::info!("agent: the limits of another preset are in force");
            self.schedule(|scheduler, now| scheduler.apply_limits(now, limits));
        }
        self.meters.load(&self.scheduler.lock().load(monotonic_now()));
    }
}

/// Returns the limits of a preset. Without one no work is taken, so the values then do not matter.
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
