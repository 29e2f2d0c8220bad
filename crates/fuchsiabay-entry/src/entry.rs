//! The shared state of an entry instance.

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

use crate::{agent_connection::AgentConnection, config_source::ConfigSource, counters::Counters};

/// Maximum number of quarantine records queued for the log. Further records are dropped; the next crash reports them
/// again.
const MAX_QUEUED_RECORDS: usize = 1024;

/// The state that all requests of an entry instance share.
pub(crate) struct Entry<C> {
    pub(crate) identity: Identity,
    pub(crate) key: SharedKey,
    pub(crate) limits: HttpLimits,
    pub(crate) config: C,
    pub(crate) router: Router<AgentConnection>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) quarantine: Quarantine,
    pub(crate) workspace_limiter: WorkspaceLimiter,
    pub(crate) counters: Counters,
    pub(crate) live_entries: AtomicU64,
    pub(crate) record_sender: Sender<QuarantineRecord>,
    /// The parent of the generators of all requests, so that one seed determines a whole run.
    root_rng: Mutex<fastrand::Rng>,
    next_attempt_id: AtomicU64,
    next_completion_number: AtomicU64,
    open_requests: AtomicUsize,
    draining: AtomicBool,
}

impl<C: ConfigSource> Entry<C> {
    /// Builds the state of a new instance. Returns it with the receiver of the quarantine records to append to the log.
    pub(crate) fn new(
        identity: Identity,
        key: SharedKey,
        limits: HttpLimits,
        config: C,
        seed: u64,
    ) -> (Arc<Self>, Receiver<QuarantineRecord>) {
        let (record_sender, records) = smol::channel::bounded(MAX_QUEUED_RECORDS);
        let entry = Self {
            router: Router::new(identity.zone.clone()),
            identity,
            key,
            limits,
            config,
            retry_budget: RetryBudget::new(0, monotonic_now()),
            quarantine: Quarantine::default(),
            workspace_limiter: WorkspaceLimiter::default(),
            counters: Counters::new(),
            live_entries: AtomicU64::new(1),
            record_sender,
            root_rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            next_attempt_id: AtomicU64::new(1),
            next_completion_number: AtomicU64::new(1),
            open_requests: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
        };
        (Arc::new(entry), records)
    }

    /// Returns the configuration for a new request, if it is confirmed to be current.
    pub(crate) fn servable_config(&self, now: Timestamp) -> Option<Arc<VersionedConfig>> {
        if !self.config.is_fresh(now) {
            return None;
        }
        self.config.in_force()
    }

    /// Returns a random number generator for one request.
    pub(crate) fn fork_rng(&self) -> fastrand::Rng {
        self.root_rng.lock().fork()
    }

    /// Returns an attempt id that this instance has never used.
    pub(crate) fn next_attempt_id(&self) -> AttemptId {
        AttemptId(self.next_attempt_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a number for the id of a completion, unique within this incarnation of the instance.
    pub(crate) fn next_completion_number(&self) -> u64 {
        self.next_completion_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(self: &Arc<Self>) -> OpenRequestGuard<C> {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequestGuard(Arc::clone(self))
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

/// Counts a request as open until it is dropped. A drain waits until none is left.
pub(crate) struct OpenRequestGuard<C: ConfigSource>(Arc<Entry<C>>);

impl<C: ConfigSource> Drop for OpenRequestGuard<C> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
