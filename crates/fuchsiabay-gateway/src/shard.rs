//! The state of one service, protected by one lock.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use fuchsiabay_balancer::{
    Admission, ColdStartLimits, DemandReport, EngineProfile, Grant, InstanceRank, Job, JobId, Outcome, Pool,
    PoolStatus, Refusal, ReportedDemand, RetryBudget, RetryLimits, SendPermission, ServerPreference,
    ServerRecord, Sharers,
};
use fuchsiabay_base::{InstanceId, ServiceName, Timestamp, ZoneName};
use fuchsiabay_runtime::monotonic_now;
use parking_lot::Mutex;
use smol::channel::{Receiver, Sender};

use crate::{cold_events, fair_share_events, step_limit, zone_events};

/// Time for which the servers of a group that is not open receive no requests, in milliseconds. It is extended while the
/// group stays closed.
const GROUP_BLOCK_MS: u64 = 1_000;

/// Time for which a server receives no requests after another server responded at its address, in milliseconds. The
/// directory removes it within this time.
const MISDIRECTED_BLOCK_MS: u64 = 5_000;

/// The state of one service.
#[derive(Debug)]
pub(crate) struct ServiceShard {
    name: ServiceName,
    /// Set when there are signs that a group of the service is not open.
    group_check_requested: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    pool: Pool,
    retries: RetryBudget,
    waiters: HashMap<JobId, Sender<Result<Grant, Refusal>>>,
}

/// How waiting in the queue ended.
pub(crate) enum WaitEnd {
    /// The job has a slot.
    Slot(SlotGuard),
    /// No server will accept the job.
    Refused(Refusal),
    /// The deadline passed, or the request must not be sent any more.
    Expired,
}

/// The result of requesting a slot for a job.
pub(crate) enum AcquireResult {
    /// The job has a slot.
    Slot(SlotGuard),
    /// The job is queued.
    Waiter(Waiter),
    /// The job must be refused.
    Refused(Refusal),
}

impl ServiceShard {
    pub(crate) fn new(name: ServiceName, zone: ZoneName, retries: RetryBudget) -> Self {
        let state = State { pool: Pool::new(zone), retries, waiters: HashMap::new() };
        Self { name, group_check_requested: AtomicBool::new(false), state: Mutex::new(state) }
    }

    pub(crate) fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Requests a slot for `job`.
    pub(crate) fn acquire(self: &Arc<Self>, job: Job) -> AcquireResult {
        let mut state = self.state.lock();
        match state.pool.admit(job, monotonic_now()) {
            Admission::Granted(grant) => AcquireResult::Slot(SlotGuard::new(self, grant)),
            Admission::Refused(refusal) => AcquireResult::Refused(refusal),
            Admission::Queued(id) => {
                let (tx, rx) = smol::channel::bounded(1);
                state.waiters.insert(id, tx);
                AcquireResult::Waiter(Waiter { shard: self.clone(), id, rx })
            }
        }
    }

    pub(crate) fn set_retry_limits(&self, limits: RetryLimits) {
        self.state.lock().retries.set_limits(limits);
    }

    pub(crate) fn count_request(&self, now: Timestamp) {
        self.state.lock().retries.count_request(now);
    }

    /// Takes one retry from this instance's share of the budget of `instances` instances. Returns false if none is left.
    pub(crate) fn take_retry(&self, instances: usize, now: Timestamp) -> bool {
        self.state.lock().retries.try_take(instances, now)
    }

    pub(crate) fn set_instance_count(&self, instances: usize) {
        self.state.lock().pool.set_instance_count(instances);
    }

    /// Sets the profile of the service's engines, and the smallest goal for the time between two events of a stream.
    pub(crate) fn set_engine(&self, engine: Option<&EngineProfile>, gap_goal_ms: Option<u64>) {
        let mut state = self.state.lock();
        state.pool.set_engine(engine);
        state.pool.set_gap_goal_ms(gap_goal_ms);
    }

    /// Records the time between two events that a server sent in one response.
    pub(crate) fn record_gap(&self, gap_ms: u64) {
        self.state.lock().pool.record_gap(gap_ms, monotonic_now());
    }

    pub(crate) fn set_cold_start_limits(&self, limits: Option<ColdStartLimits>) {
        self.state.lock().pool.set_cold_start_limits(limits);
    }

    /// Sets the instances that share the limits of cold servers.
    pub(crate) fn set_sharers(&self, sharers: Sharers) {
        self.state.lock().pool.set_sharers(sharers);
    }

    pub(crate) fn set_servers<'a>(&self, ready: impl IntoIterator<Item = &'a Arc<ServerRecord>>) {
        let mut state = self.state.lock();
        let grants = state.pool.set_servers(ready, monotonic_now());
        state.deliver(grants);
    }

    /// Sets the drained zones. The waiting requests that no other server accepts are refused.
    pub(crate) fn set_drained_zones(&self, zones: &BTreeSet<ZoneName>) {
        let now = monotonic_now();
        let mut state = self.state.lock();
        let change = state.pool.set_drained_zones(zones, now);
        state.deliver(change.grants);
        state.refuse_unservable(now);
    }

    /// Returns the number of servers in `zone`.
    pub(crate) fn server_count_in(&self, zone: &ZoneName) -> usize {
        self.state.lock().pool.server_count_in(zone)
    }

    /// Sets the total number of requests at a server, as stated in its response.
    pub(crate) fn set_server_load(&self, server: &InstanceId, total: u32) {
        self.state.lock().pool.set_reported_load(server, total, monotonic_now());
    }

    /// Sets the number of requests a second that a server accepts from all instances, as stated in its response.
    pub(crate) fn set_rate_limit(&self, server: &InstanceId, per_s: Option<f64>, rank: InstanceRank) {
        self.state.lock().pool.set_rate_limit(server, per_s, rank, monotonic_now());
    }

    /// Returns whether a server has stated a limit.
    pub(crate) fn has_rate_limit(&self, server: &InstanceId) -> bool {
        self.state.lock().pool.has_rate_limit(server)
    }

    /// Returns whether requests wait that may be sent as soon as the limit of a server allows it.
    pub(crate) fn has_paced_jobs(&self) -> bool {
        self.state.lock().pool.has_paced_jobs(monotonic_now())
    }

    /// Records that `server` has stated that it is leaving. Returns whether that was unknown.
    pub(crate) fn record_leaving(&self, server: &ServerRecord) -> bool {
        let mut state = self.state.lock();
        let is_new = state.pool.record_leaving(server);
        state.refuse_unservable(monotonic_now());
        is_new
    }

    /// Records that `server` wants no requests for `seconds`. Returns for how many milliseconds it gets none, or None if `seconds`
    /// is not a length of time or the server has restarted since.
    pub(crate) fn record_pause(&self, server: &ServerRecord, seconds: f64) -> Option<u64> {
        let now = monotonic_now();
        let mut state = self.state.lock();
        let until = state.pool.record_pause(server, seconds, now)?;
        state.refuse_unservable(now);
        Some(until.millis_since(now))
    }

    /// Returns the earliest end of a pause if every server that may run `job` has stated one.
    pub(crate) fn paused_until(&self, job: &Job) -> Option<Timestamp> {
        self.state.lock().pool.paused_until(job, monotonic_now())
    }

    /// Returns whether a request that holds a slot at `server` may be sent now.
    pub(crate) fn send_permission(&self, server: &ServerRecord) -> SendPermission {
        self.state.lock().pool.send_permission(server, monotonic_now())
    }

    /// Returns whether the request that holds `grant` still complies with the limit of a cold server.
    pub(crate) fn confirm_cold_send(&self, grant: &Grant) -> bool {
        self.state.lock().pool.confirm_cold_send(grant, monotonic_now())
    }

    /// Records that a connection to a server was refused.
    pub(crate) fn record_unreachable(&self, server: &InstanceId) {
        self.state.lock().pool.record_unreachable(server, monotonic_now());
    }

    pub(crate) fn record_full(&self, server: &InstanceId) {
        self.state.lock().pool.record_full(server, monotonic_now());
    }

    /// Records that the group of a server is not open. No server receives a request until the groups have been checked.
    pub(crate) fn record_unavailable(&self) {
        self.state.lock().pool.block_all(monotonic_now().plus_millis(GROUP_BLOCK_MS));
        self.request_group_check();
    }

    /// Records that another server has the address of `server`.
    pub(crate) fn record_misdirected(&self, server: &InstanceId) {
        let until = monotonic_now().plus_millis(MISDIRECTED_BLOCK_MS);
        self.state.lock().pool.set_blocked(server, Some(until));
    }

    /// Requests a check of the groups of the service.
    pub(crate) fn request_group_check(&self) {
        self.group_check_requested.store(true, Ordering::Relaxed);
    }

    /// Returns whether the groups of the service need a check, and clears a pending request for one.
    pub(crate) fn take_group_check_request(&self) -> bool {
        self.group_check_requested.swap(false, Ordering::Relaxed)
            || self.state.lock().pool.has_blocked_server(monotonic_now())
    }

    /// Sets for each server whether its group is open. `has_unreachable_rank` states whether a rank of a group
    /// cannot be reached.
    pub(crate) fn set_open_groups(&self, servers: &[(InstanceId, bool)], has_unreachable_rank: bool) {
        let now = monotonic_now();
        let mut state = self.state.lock();
        state.pool.set_has_unreachable_rank(has_unreachable_rank);
        if state.pool.record_groups(servers, now) {
            cold_events::record_reopened_group(&self.name, servers.len());
        }
        for (server, is_open) in servers {
            state.pool.set_blocked(server, (!is_open).then(|| now.plus_millis(GROUP_BLOCK_MS)));
        }
        let grants = state.pool.dispatch(now);
        state.deliver(grants);
    }

    /// Sets the slowdown factor of each server, where 1 is normal speed.
    pub(crate) fn set_slowdowns(&self, slowdowns: &[(InstanceId, f64)]) {
        let mut state = self.state.lock();
        for (server, slowdown) in slowdowns {
            state.pool.set_slowdown(server, *slowdown);
        }
    }

    /// Returns the slowdown factor of a server, where 1 is normal speed.
    pub(crate) fn slowdown(&self, server: &InstanceId) -> f64 {
        self.state.lock().pool.slowdown(server)
    }

    /// Returns whether `job` could be sent immediately.
    pub(crate) fn has_free_slot(&self, job: &Job) -> bool {
        self.state.lock().pool.has_free_slot(job, monotonic_now())
    }

    /// Returns whether a server has stopped responding while others respond.
    pub(crate) fn is_stalled(&self, server: &InstanceId) -> bool {
        self.state.lock().pool.is_stalled(server, monotonic_now())
    }

    /// Sets the number of the neighbours' requests at each server.
    pub(crate) fn set_neighbour_loads(&self, loads: &HashMap<InstanceId, u32>) {
        let mut state = self.state.lock();
        let grants = state.pool.set_neighbour_loads(loads, monotonic_now());
        state.deliver(grants);
    }

    /// Sets which servers this instance prefers among the ranks of a group.
    pub(crate) fn set_server_preference(&self, server_preference: &ServerPreference) {
        self.state.lock().pool.set_server_preference(server_preference);
    }

    /// Adds the number of this instance's requests at each server to `out`.
    pub(crate) fn own_loads(&self, out: &mut HashMap<InstanceId, u32>) {
        out.extend(self.state.lock().pool.own_loads().map(|(id, n)| (id.clone(), n)));
    }

    /// Sets whether the slots are shared fairly among workspaces.
    pub(crate) fn set_fair_shares_enabled(&self, is_enabled: bool) {
        self.state.lock().pool.set_fair_shares_enabled(is_enabled);
    }

    /// Sets the demand of the neighbours.
    pub(crate) fn set_neighbour_demand(&self, demand: ReportedDemand, now: Timestamp) {
        self.state.lock().pool.set_neighbour_demand(demand, now);
    }

    /// Returns the demand of this instance.
    pub(crate) fn demand_report(&self) -> DemandReport {
        self.state.lock().pool.demand_report(monotonic_now())
    }

    /// Removes expired jobs from the queue, refuses those that were overtaken, and assigns slots that became available when an ejection or a block ended.
    pub(crate) fn run_housekeeping(&self) {
        let now = monotonic_now();
        let mut state = self.state.lock();
        // The waiting requests track their deadlines themselves, so they are only removed from the queue here.
        for id in state.pool.expire(now) {
            state.waiters.remove(&id);
        }
        state.pool.update_limit(now);
        let refused = state.pool.refuse_too_slow(now);
        state.deliver_refusals(refused);
        let overtaken = state.pool.refuse_overtaken(now);
        state.deliver_refusals(overtaken);
        let grants = state.pool.dispatch(now);
        state.deliver(grants);
        let cross_zone = state.pool.take_cross_zone_change(now);
        let status = state.pool.limit_status().copied();
        let change = state.pool.take_limit_change(now);
        let cold = state.pool.take_cold_events();
        fair_share_events::record(&self.name, &mut state.pool);
        drop(state);
        cold_events::record(&self.name, &cold, now);
        if let Some(change) = cross_zone {
            zone_events::record(&self.name, &change);
        }
        if let Some(status) = status {
            step_limit::record(&self.name, &status);
        }
        if let Some(change) = change {
            step_limit::log_change(&self.name, &change);
        }
    }

    pub(crate) fn servers(&self) -> Vec<Arc<ServerRecord>> {
        self.state.lock().pool.servers().cloned().collect()
    }

    /// Returns the number of servers of the service that get requests.
    pub(crate) fn server_count(&self) -> usize {
        self.state.lock().pool.available_server_count()
    }

    pub(crate) fn status(&self) -> PoolStatus {
        self.state.lock().pool.status(monotonic_now())
    }

    fn finish(&self, grant: &Grant, outcome: Outcome, response_started: bool) {
        let mut state = self.state.lock();
        let (grants, ejected) = state.pool.finish(grant, outcome, response_started, monotonic_now());
        state.deliver(grants);
        drop(state);
        if ejected {
            metrics::counter!("fuchsiabay_ejections_total").increment(1);
            log::warn!(service = self.name.as_str(), server = grant.server.id.as_str(); "health: server ejected");
        }
    }
}

impl State {
    /// Refuses the waiting requests that no server will accept.
    fn refuse_unservable(&mut self, now: Timestamp) {
        let refused = self.pool.refuse_unservable(now);
        self.deliver_refusals(refused);
    }

    fn deliver_refusals(&mut self, refused: Vec<(JobId, Refusal)>) {
        for (id, refusal) in refused {
            if let Some(tx) = self.waiters.remove(&id)
                && tx.try_send(Err(refusal)).is_err()
            {
                log::debug!("admission: a request that is refused has gone");
            }
        }
    }

    /// Passes slots to the requests that wait for them. The slot of a request that is gone goes to the next one.
    fn deliver(&mut self, grants: Vec<(JobId, Grant)>) {
        let mut grants = grants;
        while let Some((id, grant)) = grants.pop() {
            let Some(tx) = self.waiters.remove(&id) else {
                continue;
            };
            if let Err(error) = tx.try_send(Ok(grant))
                && let Ok(grant) = error.into_inner()
            {
                grants.extend(self.pool.finish(&grant, Outcome::Neutral, false, monotonic_now()).0);
            }
        }
    }
}

/// A slot at a server. Dropping the guard releases the slot.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    shard: Arc<ServiceShard>,
    pub(crate) grant: Grant,
    outcome: Outcome,
    response_started: bool,
}

impl SlotGuard {
    fn new(shard: &Arc<ServiceShard>, grant: Grant) -> Self {
        Self { shard: shard.clone(), grant, outcome: Outcome::Neutral, response_started: false }
    }

    /// Records that the server has started its response.
    pub(crate) fn record_response_started(&mut self) {
        self.response_started = true;
        self.shard.state.lock().pool.record_response_started(&self.grant, monotonic_now());
    }

    /// Sets the outcome of the request for the health of the server.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shard.finish(&self.grant, self.outcome, self.response_started);
    }
}

/// A request that waits for a slot. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    shard: Arc<ServiceShard>,
    id: JobId,
    rx: Receiver<Result<Grant, Refusal>>,
}

impl Waiter {
    /// Waits for a slot.
    pub(crate) async fn wait(&mut self) -> WaitEnd {
        match self.rx.recv().await {
            Ok(Ok(grant)) => WaitEnd::Slot(SlotGuard::new(&self.shard, grant)),
            Ok(Err(refusal)) => WaitEnd::Refused(refusal),
            Err(_) => WaitEnd::Expired,
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut state = self.shard.state.lock();
        state.waiters.remove(&self.id);
        state.pool.cancel(self.id);
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            let grants = state.pool.finish(&grant, Outcome::Neutral, false, monotonic_now()).0;
            state.deliver(grants);
        }
    }
}
