//! The load balancing logic of an entry instance that sends requests directly to backend servers: route tables, the
//! directory of backend servers, admission, server selection, ejection and the retry budget.
//!
//! This crate does no I/O and does not read the clock. The current time is passed as an argument, so the same code runs
//! in the daemon and in tests on virtual time.
//!
//! Invariants: a configuration is never replaced by an older one; a record of a backend server is never replaced by an
//! older one; a server that drains, has left or is in a drained zone is never selected; a job is granted at most once;
//! state that is not confirmed to be current is read from the store.

mod cold_starts;
mod config;
mod config_check;
mod crashes;
mod demand;
mod directory;
mod drained_zones;
mod engine_profile;
mod fair_shares;
mod group_survey;
mod health;
mod indexed_config;
mod limits;
mod neighbours;
mod pool;
mod retry_budget;
mod route;
mod route_table;
mod server_record;
mod statements;
mod store_position;
mod workspace;

pub use cold_starts::{
    ColdEvents, ColdReason, ColdServerEvent, ColdStart, ColdStartLimits, ColdStatus, ColdTolerance,
};
pub use config::ServingConfig;
pub use config_check::{ConfigChange, Finding, Severity};
pub use crashes::{
    CrashEvent, CrashLedger, CrashRecord, CrashReport, Incarnation, Occupancy, Quarantine, ReportedSuspect,
    RequestOccupancy, SurvivedRun, Suspect,
};
pub use demand::{DemandReport, ReportedDemand};
pub use directory::{Directory, DirectoryEntry, ServerChange};
pub use drained_zones::DrainedZones;
pub use engine_profile::EngineProfile;
pub use fair_shares::{FairShares, FairSharesStatus, ShareEvent, ShareLevel, WorkspaceStatus};
pub use group_survey::{GroupReport, GroupSurvey};
pub use health::{Health, Outcome};
pub use indexed_config::{ConfigSlot, IndexedConfig, KeyCheck};
pub use limits::CallerLimits;
pub use neighbours::{
    Freshness, Neighbours, ServerList, ServerLists, ServerPreference, SharedState, Sharers, StateMark,
    StoreReaders,
};
pub use pool::{
    Admission, ConcurrencyLimit, CrossZoneChange, CrossZoneReason, ExpectedStream, FairShareCounts, Grant,
    Job, JobId, LimitState, LimitStatus, Pool, PoolStatus, Refusal, RefusalReason, ServerStatus, StepTime,
    StepTimes, ZoneDrainChange, ZoneStatus,
};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use route::{Route, RouteKind, Target};
pub use route_table::RouteTable;
pub use server_record::{ServerRecord, ServerState};
pub use statements::{InstanceRank, SendPermission};
pub use store_position::StorePosition;
pub use workspace::Workspace;
