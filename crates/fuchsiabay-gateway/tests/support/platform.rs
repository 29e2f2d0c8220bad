//! A fake platform with the configuration and the directory in memory.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use fuchsiabay_balancer::{CrashRecord, ServerRecord, ServingConfig, StorePosition};
use fuchsiabay_base::InstanceId;
use fuchsiabay_gateway::{
    ConfigSource, ConfigUpdate, CrashStore, DrainedZonesUpdate, EngineControl, EngineError, EngineReport,
    MembershipSource, MembershipView, Platform, RankExperts, ServerSource, ServerUpdate, SourceError,
};
use fuchsiabay_lockstep::{
    DemandCounter, DemandCounts, DemandDelta, LeaseTerm, Order, OrderReply, RankState,
};
use smol::Timer;

/// The delay of each read of the configuration.
const CONFIG_READ_DELAY: Duration = Duration::from_millis(5);

#[derive(Clone, Default)]
pub struct FakePlatform {
    pub config: Arc<Mutex<Option<ServingConfig>>>,
    pub servers: Arc<Mutex<Vec<ServerRecord>>>,
    /// The drained zones that each read of the configuration returns.
    pub drained_zones: Arc<Mutex<DrainedZonesUpdate>>,
    /// Whether the store is unavailable.
    pub is_down: Arc<Mutex<bool>>,
    /// The members that the store lists.
    pub members: Arc<Mutex<Vec<SocketAddr>>>,
    /// The number of directory listings, shared by all instances. It serves as the position of a listing.
    pub position: Arc<AtomicU64>,
    /// How often the store has returned from a copy.
    pub epoch: Arc<AtomicU64>,
    /// Whether the instances hold the coordinator lease.
    pub is_coordinator: bool,
    /// Whether the store lists a previous process as the coordinator.
    pub has_predecessor: Arc<AtomicBool>,
    /// The servers whose engines report that they are leaving.
    pub leaving_engines: Arc<Mutex<Vec<InstanceId>>>,
    /// The servers whose engines are in no group.
    pub single_engines: Arc<Mutex<Vec<InstanceId>>>,
    /// The step that the engines hold, until they are ordered to release it.
    pub held_step: Arc<Mutex<Option<u64>>>,
    /// The names of the orders that the engines have accepted.
    pub orders: Arc<Mutex<Vec<&'static str>>>,
    /// The number of reads of the experts of an engine.
    pub expert_reads: Arc<AtomicUsize>,
    /// The record of crashes, and how often it was written.
    pub crashes: Arc<Mutex<(CrashRecord, u64)>>,
    /// Whether calls for the record of crashes fail.
    pub rejects_crashes: Arc<AtomicBool>,
    /// The number of reads of the configuration and the directory.
    pub reads: Arc<AtomicUsize>,
}

pub struct Source {
    platform: FakePlatform,
    seen: u64,
}

impl Source {
    fn check(&self) -> Result<(), SourceError> {
        if *self.platform.is_down.lock().unwrap() {
            return Err(SourceError::Unavailable("down".to_owned()));
        }
        Ok(())
    }
}

impl ConfigSource for Source {
    async fn next(&mut self) -> Result<ConfigUpdate, SourceError> {
        self.platform.reads.fetch_add(1, Ordering::Relaxed);
        Timer::after(CONFIG_READ_DELAY).await;
        self.check()?;
        let config = self.platform.config.lock().unwrap().clone();
        let changed = config.filter(|config| config.version != self.seen);
        self.seen = changed.as_ref().map_or(self.seen, |config| config.version);
        let drained_zones = self.platform.drained_zones.lock().unwrap().clone();
        Ok(ConfigUpdate { config: changed, drained_zones, waited_ms: 0 })
    }
}

impl ServerSource for Source {
    async fn poll(&mut self) -> Result<ServerUpdate, SourceError> {
        self.platform.reads.fetch_add(1, Ordering::Relaxed);
        self.check()?;
        let servers = self.platform.servers.lock().unwrap();
        let offset = self.platform.position.fetch_add(1, Ordering::Relaxed) + 1;
        let position = StorePosition { epoch: self.platform.epoch.load(Ordering::Relaxed), offset };
        Ok(ServerUpdate::Listing { records: servers.clone(), position })
    }
}

impl MembershipSource for Source {
    async fn is_predecessor_coordinator(&mut self) -> Result<bool, SourceError> {
        self.check()?;
        Ok(self.platform.has_predecessor.load(Ordering::Relaxed))
    }

    async fn renew(&mut self) -> Result<MembershipView, SourceError> {
        self.check()?;
        let members = self.platform.members.lock().unwrap().clone();
        Ok(MembershipView {
            members,
            is_coordinator: self.platform.is_coordinator,
            term: LeaseTerm { store_epoch: 1, generation: 1 },
        })
    }

    async fn leave(&mut self) {}
}

impl Source {
    fn check_crashes(&self) -> Result<(), SourceError> {
        match self.platform.rejects_crashes.load(Ordering::Relaxed) {
            true => Err(SourceError::Unavailable("rejected".to_owned())),
            false => self.check(),
        }
    }
}

impl CrashStore for Source {
    async fn load(&mut self) -> Result<(CrashRecord, StorePosition), SourceError> {
        self.check_crashes()?;
        let (record, offset) = self.platform.crashes.lock().unwrap().clone();
        Ok((record, StorePosition { epoch: self.platform.epoch.load(Ordering::Relaxed), offset }))
    }

    async fn save(
        &mut self,
        record: &CrashRecord,
        position: StorePosition,
    ) -> Result<Option<StorePosition>, SourceError> {
        self.check_crashes()?;
        let (stored, offset) = &mut *self.platform.crashes.lock().unwrap();
        if *offset != position.offset {
            return Ok(None);
        }
        (*stored, *offset) = (record.clone(), position.offset + 1);
        Ok(Some(StorePosition { offset: *offset, ..position }))
    }
}

/// Engines that are groups of one rank each, without any demand.
pub struct FakeEngines {
    platform: FakePlatform,
}

impl EngineControl for FakeEngines {
    fn can_query_without_pause(&self, _: &ServerRecord) -> bool {
        true
    }

    async fn report(&self, server: &ServerRecord) -> Result<EngineReport, EngineError> {
        let state = RankState {
            epoch: 1,
            rank: 0,
            group_size: 1,
            is_open: true,
            slowdown: 1.0,
            step: 0,
            map_version: 0,
            prepared: None,
            armed: None,
            held: *self.platform.held_step.lock().unwrap(),
        };
        let is_leaving = self.platform.leaving_engines.lock().unwrap().contains(&server.id);
        let is_single = self.platform.single_engines.lock().unwrap().contains(&server.id);
        Ok(EngineReport {
            rank: (!is_single).then(|| (server.id.to_string(), state)),
            started_at_ms: server.started_at_ms,
            is_leaving,
        })
    }

    async fn demand(&self, _: &ServerRecord) -> Result<DemandDelta, EngineError> {
        Ok(DemandCounter::default().advance(DemandCounts { epoch: 1, step: 0, counts: vec![0] }))
    }

    async fn rank_experts(&self, _: &ServerRecord) -> Result<RankExperts, EngineError> {
        self.platform.expert_reads.fetch_add(1, Ordering::Relaxed);
        Ok(RankExperts { epoch: 1, map_version: 0, experts: vec![vec![0]] })
    }

    async fn send_order(&self, _: &ServerRecord, _: &ServerRecord, _: u64, order: &Order) -> OrderReply {
        self.platform.orders.lock().unwrap().push(order.as_str());
        if let Order::Release { step } = order {
            self.platform.held_step.lock().unwrap().take_if(|held| held == step);
        }
        OrderReply::Accepted
    }
}

impl Platform for FakePlatform {
    type Config = Source;
    type Servers = Source;
    type Membership = Source;
    type Crashes = Source;
    type Engines = FakeEngines;

    fn config(&self) -> Source {
        Source { platform: self.clone(), seen: 0 }
    }

    fn servers(&self) -> Source {
        Source { platform: self.clone(), seen: 0 }
    }

    fn membership(&self) -> Source {
        Source { platform: self.clone(), seen: 0 }
    }

    fn crashes(&self) -> Source {
        Source { platform: self.clone(), seen: 0 }
    }

    fn engines(&self) -> FakeEngines {
        FakeEngines { platform: self.clone() }
    }
}
