//! State shared by the tasks of a gateway.

use std::{
    collections::HashMap,
    fmt::Display,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use fuchsiabay_balancer::{
    CallerLimits, ColdStartLimits, ConfigSlot, CrashLedger, CrashReport, DemandReport, Directory,
    DrainedZones, Freshness, IndexedConfig, Neighbours, RequestOccupancy, RetryBudget, ServerLists,
    SharedState, StateMark,
};
use fuchsiabay_base::{InstanceId, ServiceName, Timestamp, ZoneName};
use fuchsiabay_runtime::{OpsSource, monotonic_now};
use parking_lot::{Mutex, MutexGuard, RwLock};
use serde_json::{Value, json};

use crate::{
    GatewaySettings, LiveSettings,
    backend::ConnectionPool,
    body_budget::{BodyBudget, EVENT_LIMITS, REQUEST_LIMITS, RESPONSE_LIMITS},
    coordinator_lease::{CoordinatorLease, boot_now},
    crash_events,
    drain::Drain,
    longest_deadlines::LongestDeadlines,
    neighbours::{CrashUpdate, DirectoryUpdate, ExchangeReply, LoadReport},
    shard::ServiceShard,
    signal::Signal,
    zone_drains::ZoneDrains,
};

/// The shared state. Each service has a shard with its own lock.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) connections: ConnectionPool,
    /// The memory of responses that are buffered.
    pub(crate) response_budget: BodyBudget,
    /// The memory of events that are incomplete.
    pub(crate) event_budget: BodyBudget,
    /// The memory of the bodies of callers' requests.
    pub(crate) request_budget: BodyBudget,
    live: RwLock<LiveSettings>,
    config: RwLock<ConfigSlot>,
    directory: Mutex<Directory>,
    zone_drains: ZoneDrains,
    shards: RwLock<HashMap<ServiceName, Arc<ServiceShard>>>,
    directory_is_known: AtomicBool,
    /// Whether the seeds have been called once.
    has_called_neighbours: AtomicBool,
    drain: Drain,
    coordinator_lease: CoordinatorLease,
    longest_deadlines: LongestDeadlines,
    neighbours: Mutex<Neighbours>,
    server_lists: Mutex<ServerLists>,
    crashes: Mutex<CrashLedger>,
    /// On the clock of [`boot_now`], because data becomes stale while the instance is suspended, too.
    freshness: Mutex<Freshness>,
    /// Identifies this process's state to neighbours.
    state_source: u64,
    started_at: Timestamp,
    open_connections: AtomicUsize,
    running_requests: AtomicUsize,
    instances: AtomicUsize,
    /// Sent when the neighbours must be told at once of the loss of a server.
    pub(crate) loss_signal: Signal,
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let neighbours = Mutex::new(Neighbours::new(settings.peer_listen));
        Self {
            live: RwLock::new(settings.live),
            settings,
            connections: ConnectionPool::default(),
            response_budget: BodyBudget::new(RESPONSE_LIMITS),
            event_budget: BodyBudget::new(EVENT_LIMITS),
            request_budget: BodyBudget::new(REQUEST_LIMITS),
            config: RwLock::default(),
            directory: Mutex::default(),
            zone_drains: ZoneDrains::default(),
            shards: RwLock::default(),
            directory_is_known: AtomicBool::new(false),
            has_called_neighbours: AtomicBool::new(false),
            drain: Drain::default(),
            coordinator_lease: CoordinatorLease::default(),
            longest_deadlines: LongestDeadlines::default(),
            neighbours,
            server_lists: Mutex::default(),
            crashes: Mutex::default(),
            freshness: Mutex::default(),
            // It only has to differ from that of the previous process, and 32 bits keep the messages small.
            state_source: fastrand::u32(..).into(),
            started_at: monotonic_now(),
            open_connections: AtomicUsize::new(0),
            running_requests: AtomicUsize::new(0),
            instances: AtomicUsize::new(1),
            loss_signal: Signal::default(),
        }
    }

    /// Returns the current values of the settings that can be changed at run time.
    pub(crate) fn live(&self) -> LiveSettings {
        *self.live.read()
    }

    /// Applies changed settings. Open connections are not closed.
    pub(crate) fn set_live(&self, live: LiveSettings) {
        *self.live.write() = live;
        for shard in self.shards() {
            shard.set_retry_limits(live.retries);
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<IndexedConfig>> {
        self.config.read().in_force().cloned()
    }

    /// Returns the limits on callers.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.config.read().in_force().map(|config| config.limits()).unwrap_or_default()
    }

    /// Puts `config` in force if it is newer than the configuration in force. Returns whether it did.
    pub(crate) fn apply_config(&self, config: IndexedConfig) -> bool {
        let config = Arc::new(config);
        // Held until the profiles are set, so that they always belong to the configuration in force.
        let mut slot = self.config.write();
        if !slot.replace_if_newer(config.clone()) {
            return false;
        }
        for name in config.config().services.keys() {
            let shard = self.shard(name);
            shard.set_engine(config.engine(name), config.gap_goal_ms(name));
            let cold_start = config.cold_start(name);
            shard.set_cold_start_limits(ColdStartLimits::new(cold_start, self.settings.cold_tolerance));
            shard.set_fair_shares_enabled(config.has_workspaces());
        }
        true
    }

    /// Returns the shard of a service, creating it if needed.
    pub(crate) fn shard(&self, service: &ServiceName) -> Arc<ServiceShard> {
        if let Some(shard) = self.shards.read().get(service) {
            return shard.clone();
        }
        // Held until the shard is stored, so that the shard misses no change of the drained zones.
        let zones = self.zone_drains.lock();
        let mut shards = self.shards.write();
        let create = || {
            let zone = self.settings.zone.clone();
            let retries = RetryBudget::new(self.live().retries, self.started_at);
            let shard = ServiceShard::new(service.clone(), zone, retries);
            shard.set_instance_count(self.instance_count());
            shard.set_drained_zones(&zones.drained());
            Arc::new(shard)
        };
        shards.entry(service.clone()).or_insert_with(create).clone()
    }

    /// Returns all shards.
    pub(crate) fn shards(&self) -> Vec<Arc<ServiceShard>> {
        self.shards.read().values().cloned().collect()
    }

    /// Applies `change` to the directory. If it returns true, the servers of all shards are updated.
    pub(crate) fn change_directory(&self, change: impl FnOnce(&mut Directory, Timestamp) -> bool) {
        let now = monotonic_now();
        let mut directory = self.directory.lock();
        if !change(&mut directory, now) {
            return;
        }
        self.server_lists.lock().set(directory.listed(now).map(|record| record.id.clone()));
        let mut by_service: HashMap<&ServiceName, Vec<_>> = HashMap::new();
        for record in directory.ready(now) {
            by_service.entry(&record.service).or_default().push(record);
        }
        for service in by_service.keys() {
            self.shard(service);
        }
        for shard in self.shards() {
            let servers = by_service.remove(shard.name()).unwrap_or_default();
            let former = shard.servers();
            for server in former.iter().filter(|server| !directory.lists_incarnation(server, now)) {
                self.crashes().record_disappearance(&server.as_ref().into(), now);
            }
            shard.set_servers(servers);
        }
    }

    /// Drops expired entries of the directory, and asks the neighbours for their whole directories if it may lack a server.
    pub(crate) fn expire_directory(&self) {
        let mut needs_recheck = false;
        self.change_directory(|directory, now| {
            needs_recheck = directory.take_recheck(now);
            directory.expire(now)
        });
        if needs_recheck {
            log::info!("directory: a listing lacked servers, asking the neighbours for all");
            self.neighbours().clear_marks();
        }
    }

    /// Applies `change`, which comes from `source`, to the drained zones.
    pub(crate) fn change_drained_zones(&self, source: impl Display, change: impl FnOnce(&mut DrainedZones)) {
        self.zone_drains.apply(source, || self.shards(), change);
    }

    /// Returns the drained zones to send in a request to a neighbour.
    pub(crate) fn drained_zones_request(&self) -> DrainedZones {
        self.zone_drains.lock().to_request()
    }

    /// Merges the drained zones that the neighbour at `from` has sent in a request. Returns those to reply.
    pub(crate) fn exchange_drained_zones(&self, from: SocketAddr, known: &DrainedZones) -> DrainedZones {
        self.change_drained_zones(from, |zones| zones.merge(known));
        self.zone_drains.lock().to_reply(known)
    }

    /// Returns the epoch of the store as of the last change of the directory.
    pub(crate) fn store_epoch(&self) -> u64 {
        self.directory.lock().epoch().unwrap_or_default()
    }

    /// Records that the directory has been read completely at least once.
    pub(crate) fn set_directory_known(&self) {
        self.directory_is_known.store(true, Ordering::Relaxed);
    }

    /// Records that the seeds have been called once.
    pub(crate) fn set_neighbours_called(&self) {
        self.has_called_neighbours.store(true, Ordering::Relaxed);
    }

    /// Returns whether the seeds have been called once.
    pub(crate) fn has_called_neighbours(&self) -> bool {
        self.has_called_neighbours.load(Ordering::Relaxed)
    }

    /// Returns the number of entry instances, which share the servers and the retry budget.
    pub(crate) fn instance_count(&self) -> usize {
        self.instances.load(Ordering::Relaxed)
    }

    pub(crate) fn set_instance_count(&self, n: usize) {
        let n = n.max(1);
        self.instances.store(n, Ordering::Relaxed);
        for shard in self.shards() {
            shard.set_instance_count(n);
        }
    }

    /// Informs the shards of the instances that share the limits of cold servers.
    pub(crate) fn update_sharers(&self) {
        let sharers = self.neighbours().sharers(monotonic_now());
        for shard in self.shards() {
            shard.set_sharers(sharers.clone());
        }
    }

    pub(crate) fn drain(&self) -> &Drain {
        &self.drain
    }

    pub(crate) fn longest_deadlines(&self) -> &LongestDeadlines {
        &self.longest_deadlines
    }

    /// Returns the crashes of servers, brought up to date.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashLedger> {
        let mut crashes = self.crashes.lock();
        crashes.advance(monotonic_now());
        crashes.take_events().iter().for_each(crash_events::record);
        crashes
    }

    /// Records what the neighbour at `from` told of crashes and of the requests under which servers were lost.
    pub(crate) fn merge_crashes(
        &self,
        from: SocketAddr,
        reports: &[CrashReport],
        occupancies: &[RequestOccupancy],
    ) {
        let mut crashes = self.crashes();
        reports.iter().for_each(|report| crashes.merge(report, monotonic_now()));
        crashes.merge_occupancies(from, occupancies, monotonic_now());
    }

    pub(crate) fn neighbours(&self) -> MutexGuard<'_, Neighbours> {
        self.neighbours.lock()
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.read().version()
    }

    /// Confirms that `state` is current. See [`Freshness::confirm`].
    pub(crate) fn confirm_current(&self, state: SharedState, requested_at: Timestamp, age_ms: u64) {
        self.freshness.lock().confirm(state, requested_at, age_ms);
    }

    /// Returns whether the store or a neighbour has recently confirmed that `state` is current.
    pub(crate) fn is_fresh(&self, state: SharedState) -> bool {
        self.freshness.lock().is_fresh(state, boot_now())
    }

    /// Returns the time until which this instance need not read `state` from the store, because a neighbour confirmed it.
    /// None if it must read it now.
    pub(crate) fn read_deferred_until(&self, state: SharedState) -> Option<Timestamp> {
        let is_reader = self.neighbours().is_reader();
        self.freshness.lock().read_deferred_until(state, is_reader, boot_now())
    }

    /// Returns whether the configuration or the directory is unknown or not confirmed to be current.
    pub(crate) fn is_stale(&self) -> bool {
        self.config_version() == 0
            || !self.is_fresh(SharedState::Config)
            || !self.is_fresh(SharedState::Directory)
    }

    /// Returns the number of requests that this instance has at each server.
    pub(crate) fn own_loads(&self) -> HashMap<InstanceId, u32> {
        let mut loads = HashMap::new();
        self.shards().iter().for_each(|shard| shard.own_loads(&mut loads));
        loads
    }

    /// Returns the loads of this instance in the form that the neighbour at `addr` can read.
    pub(crate) fn load_report(&self, addr: SocketAddr) -> LoadReport {
        let receiver_list = self.neighbours().server_list(addr);
        LoadReport::new(self.own_loads(), &self.server_lists.lock(), receiver_list)
    }

    /// Records the zone, the configuration version and the loads that the neighbour at `addr` stated.
    pub(crate) fn record_loads(
        &self,
        addr: SocketAddr,
        zone: Option<ZoneName>,
        config_version: u64,
        report: LoadReport,
    ) {
        let server_list = report.server_list();
        let loads = report.decode(&self.server_lists.lock());
        let mut neighbours = self.neighbours();
        neighbours.record_zone(addr, zone);
        neighbours.record_server_list(addr, server_list);
        match loads {
            Some(loads) => neighbours.record_exchange(addr, config_version, loads, monotonic_now()),
            None => neighbours.record_contact(addr, config_version, monotonic_now()),
        }
    }

    /// Returns the demand of this instance for each service that has any.
    pub(crate) fn own_demand(&self) -> HashMap<ServiceName, DemandReport> {
        let reports = self.shards().into_iter().map(|shard| (shard.name().clone(), shard.demand_report()));
        reports.filter(|(_, report)| !report.is_empty()).collect()
    }

    /// Passes the demand of the neighbours to the shards.
    pub(crate) fn update_neighbour_demand(&self, now: Timestamp) {
        for shard in self.shards() {
            let demand = self.neighbours().demand(shard.name(), now);
            shard.set_neighbour_demand(demand, now);
        }
    }

    /// Returns the reply to the neighbour at `addr` that has version `version` of the configuration and the changes of this directory up
    /// to `mark` and of the crashes up to `crash_mark`.
    pub(crate) fn exchange_reply(
        &self,
        addr: SocketAddr,
        version: u64,
        mark: Option<StateMark>,
        crash_mark: Option<StateMark>,
    ) -> ExchangeReply {
        // The ages are read first, so that the data is at least as recent as they state.
        let (freshness, now) = (*self.freshness.lock(), boot_now());
        let config = self.config();
        let newer_config = config.as_ref().filter(|config| config.version() > version);
        let revision_of = |mark: Option<StateMark>| {
            mark.filter(|mark| mark.source == self.state_source).map_or(0, |mark| mark.revision)
        };
        let (crash_revision, reports) =
            self.crashes().changes_since(revision_of(crash_mark), monotonic_now());
        let occupancies = self.crashes().own_occupancies(monotonic_now());
        let loads = self.load_report(addr);
        let directory = self.directory.lock();
        ExchangeReply {
            zone: Some(self.settings.zone.clone()),
            config_version: config.as_ref().map_or(0, |config| config.version()),
            config: newer_config.map(|config| config.config().clone()),
            config_age_ms: freshness.age_ms(SharedState::Config, now),
            directory: DirectoryUpdate {
                mark: StateMark { source: self.state_source, revision: directory.revision() },
                changes: directory.changes_since(revision_of(mark), monotonic_now()),
                age_ms: freshness.age_ms(SharedState::Directory, now),
                store_epoch: directory.epoch(),
            },
            loads,
            demand: Some(self.own_demand()),
            crashes: Some(CrashUpdate {
                mark: StateMark { source: self.state_source, revision: crash_revision },
                reports,
                occupancies,
            }),
            drained_zones: None,
        }
    }

    pub(crate) fn coordinator_lease(&self) -> &CoordinatorLease {
        &self.coordinator_lease
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain.is_started()
    }

    /// Counts a new connection from a caller. Returns false, without counting it, if too many are open.
    pub(crate) fn open_connection(&self) -> bool {
        let before = self.open_connections.fetch_add(1, Ordering::Relaxed);
        if before >= self.live().max_connections {
            self.close_connection();
            return false;
        }
        true
    }

    pub(crate) fn close_connection(&self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn begin_request(&self) {
        self.running_requests.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_request(&self) {
        self.running_requests.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn running_requests(&self) -> usize {
        self.running_requests.load(Ordering::Relaxed)
    }
}

impl OpsSource for Gateway {
    fn state(&self) -> Value {
        let pools: HashMap<String, _> =
            self.shards().iter().map(|shard| (shard.name().to_string(), shard.status())).collect();
        json!({
            "instance": self.settings.instance,
            "zone": self.settings.zone,
            "config": { "version": self.config.read().version() },
            "draining": self.is_draining(),
            "instances": self.instance_count(),
            "sharing_instances": self.neighbours().sharers(monotonic_now()).instances(),
            "coordinates": self.coordinator_lease.is_held(),
            "reads_store": self.neighbours().is_reader(),
            "store_epoch": self.directory.lock().epoch(),
            "connections": self.open_connections.load(Ordering::Relaxed),
            "running_requests": self.running_requests(),
            "drained_zones": self.zone_drains.status(),
            "pools": pools,
            "lost_servers": self.crashes().lost_servers(),
            "quarantines": self.crashes().quarantines(monotonic_now()),
        })
    }

    fn readiness(&self) -> Result<(), String> {
        if self.is_draining() {
            return Err("draining".to_owned());
        }
        if self.config.read().in_force().is_none() {
            return Err("no configuration is known".to_owned());
        }
        if !self.directory_is_known.load(Ordering::Relaxed) {
            return Err("the backend servers are not known".to_owned());
        }
        Ok(())
    }
}
