//! The state of an entry instance.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use fuchsiabay_base::{AttemptId, Timestamp};
use fuchsiabay_config::VersionedConfig;
use fuchsiabay_routing::{Quarantine, QuarantineRecord, RetryBudget, Router, WorkspaceLimiter};
use fuchsiabay_runtime::{Identity, monotonic_now};
use fuchsiabay_settings::HttpLimits;
use fuchsiabay_wire::SharedKey;
use parking_lot::Mutex;
use smol::channel::{Receiver, Sender};

use crate::{agent_link::AgentLink, config_source::ConfigSource, counters::Counters};

/// Quarantine records that may wait for the log. More are dropped: they are repeated with the next crash.
const WAITING_RECORDS: usize = 1024;

/// What all requests of an entry instance share.
pub(crate) struct Entry<C> {
    pub(crate) identity: Identity,
    pub(crate) key: SharedKey,
    pub(crate) limits: HttpLimits,
    pub(crate) config: C,
    pub(crate) router: Router<AgentLink>,
    pub(crate) budget: RetryBudget,
    pub(crate) quarantine: Quarantine,
    pub(crate) limiter: WorkspaceLimiter,
    pub(crate) counters: Counters,
    pub(crate) live_entries: AtomicU64,
    pub(crate) records_out: Sender<QuarantineRecord>,
    /// Seeds the random numbers of requests, so that one seed determines a whole run.
    seeds: Mutex<fastrand::Rng>,
    next_attempt: AtomicU64,
    next_request: AtomicU64,
    open_requests: AtomicUsize,
    draining: AtomicBool,
}

impl<C: ConfigSource> Entry<C> {
    /// Builds the state of a new instance and the queue of its quarantine records.
    pub(crate) fn new(
        identity: Identity,
        key: SharedKey,
        limits: HttpLimits,
        config: C,
        seed: u64,
    ) -> (Arc<Self>, Receiver<QuarantineRecord>) {
        let (records_out, records) = smol::channel::bounded(WAITING_RECORDS);
        let entry = Self {
            router: Router::new(identity.zone.clone()),
            identity,
            key,
            limits,
            config,
            budget: RetryBudget::new(0, monotonic_now()),
            quarantine: Quarantine::default(),
            limiter: WorkspaceLimiter::default(),
            counters: Counters::new(),
            live_entries: AtomicU64::new(1),
            records_out,
            seeds: Mutex::new(fastrand::Rng::with_seed(seed)),
            next_attempt: AtomicU64::new(1),
            next_request: AtomicU64::new(1),
            open_requests: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
        };
        (Arc::new(entry), records)
    }

    /// Returns the configuration that a new request is served under, if it is proved current.
    pub(crate) fn servable_config(&self, now: Timestamp) -> Option<Arc<VersionedConfig>> {
        if !self.config.is_fresh(now) {
            return None;
        }
        self.config.current()
    }

    /// Returns a generator of random numbers for one request.
    pub(crate) fn rng(&self) -> fastrand::Rng {
        self.seeds.lock().fork()
    }

    /// Returns an attempt id that this instance has never used.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId(self.next_attempt.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a number for the id of a completion, unique for the life of this instance.
    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(self: &Arc<Self>) -> OpenRequest<C> {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequest(Arc::clone(self))
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }
}

/// Keeps a drain from ending while a request is open.
pub(crate) struct OpenRequest<C: ConfigSource>(Arc<Entry<C>>);

impl<C: ConfigSource> Drop for OpenRequest<C> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
