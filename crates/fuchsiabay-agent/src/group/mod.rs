//! Drives the expert maps of the group that the engine is part of.
//!
//! `state` decides without I/O; this module reads the log and talks to the engine. Permits have a task of their own, so
//! that a slow log does not stall the group.

mod planning;
mod state;

use std::sync::Arc;

use fuchsiabay_base::WriterId;
use fuchsiabay_experts::{ExpertMap, MapRecord, MapVersion};
use fuchsiabay_runtime::{LogClient, monotonic_now, sleep_until, spawn};
use fuchsiabay_settings::GroupSettings;
use futures_lite::future;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::Value;

use self::state::GroupState;
use crate::{
    AgentParams,
    agent::Wake,
    backend::{BackendClient, WeightsCall},
};

/// The interval of reads, in milliseconds. It is a small part of the lead of a switch.
const IDLE_POLL_MS: u64 = 500;

/// The interval of reads while a switch is undecided or a generation must name this life, in milliseconds.
const BUSY_POLL_MS: u64 = 100;

/// The time that the log has for a read or an append, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 1_000;

/// The interval in which permits are renewed, in milliseconds. Permits cover 2 s.
const PERMIT_MS: u64 = 200;

/// The time after which weights that could not be loaded are ordered again, in milliseconds.
const WEIGHTS_RETRY_MS: u64 = 1_000;

/// Records of one read.
const PAGE_RECORDS: usize = 1_000;

/// The group of ranks that one engine is part of.
pub(crate) struct Group {
    settings: GroupSettings,
    stream: String,
    backend: BackendClient,
    log: LogClient,
    state: Mutex<GroupState>,
    wake: Wake,
}

impl Group {
    /// Returns the group of the settings, if the engine is in one.
    pub(crate) fn new(params: &AgentParams, backend: &BackendClient, log: &LogClient) -> Option<Arc<Self>> {
        let settings = params.group.clone()?;
        let identity = &params.identity;
        let writer = WriterId { instance: identity.instance.clone(), generation: identity.generation };
        Some(Arc::new(Self {
            stream: format!("maps-{}", settings.name),
            backend: backend.clone(),
            log: log.clone(),
            state: Mutex::new(GroupState::new(writer, &settings, monotonic_now())),
            wake: Wake::new(),
            settings,
        }))
    }

    /// Returns the state for the dump.
    pub(crate) fn dump(&self) -> Value {
        let mut dump = self.state.lock().dump();
        dump["name"] = self.settings.name.as_str().into();
        dump
    }

    /// Reads the stream, votes and proposes, for ever.
    pub(crate) async fn follow(self: Arc<Self>) {
        loop {
            if self.read_page().await {
                continue;
            }
            if self.state.lock().may_append() {
                self.plan().await;
                let records = self.state.lock().take_records(monotonic_now());
                self.append(records).await;
            }
            self.start_loading();
            let wait_ms = if self.state.lock().is_busy() { BUSY_POLL_MS } else { IDLE_POLL_MS };
            future::or(self.wake.wait(), sleep_until(monotonic_now().plus_millis(wait_ms))).await;
        }
    }

    /// Renews the permits of the engine's ranks, for ever.
    pub(crate) async fn permit_steps(self: Arc<Self>) {
        loop {
            let next = monotonic_now().plus_millis(PERMIT_MS);
            self.permit().await;
            sleep_until(next).await;
        }
    }

    async fn permit(&self) {
        let view = match self.backend.group().await {
            Ok(view) => view,
            Err(error) => return log::debug!("group: {error}"),
        };
        // Nothing comes between the decision and the send.
        let permit = self.state.lock().permit(monotonic_now(), &view);
        let Some(permit) = permit else {
            return;
        };
        match self.backend.permit(&permit).await {
            Ok(()) => self.state.lock().permit_accepted(permit.generation),
            Err(error) => log::warn!("group: permit through step {} failed: {error}", permit.through_step),
        }
    }

    /// Reads one page. Returns whether more records wait.
    async fn read_page(&self) -> bool {
        let from = self.state.lock().next_offset();
        let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
        match self.log.read::<Value>(&self.stream, from, PAGE_RECORDS, deadline).await {
            Ok(page) => {
                let records: Vec<_> = page
                    .records
                    .iter()
                    .map(|record| (record.offset, MapRecord::deserialize(&record.data).ok()))
                    .collect();
                self.state.lock().page(monotonic_now(), page.first, &records);
                records.len() >= PAGE_RECORDS
            }
            Err(error) => {
                log::debug!("group: {error}");
                self.state.lock().log_unavailable(monotonic_now());
                false
            }
        }
    }

    /// Appends records. Whether they took effect shows when they are read.
    async fn append(&self, records: Vec<MapRecord>) {
        if records.is_empty() {
            return;
        }
        let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
        match self.log.append(&self.stream, &records, deadline).await {
            Ok(_) => self.wake.wake(),
            Err(error) => log::warn!("group: {error}"),
        }
    }

    /// Plans the placement, when that is due and this agent may propose it.
    async fn plan(&self) {
        if !self.state.lock().plan_is_due(monotonic_now()) {
            return;
        }
        match self.backend.group_load().await {
            Ok(load) => self.state.lock().plan(monotonic_now(), &load),
            Err(error) => log::debug!("group: {error}"),
        }
    }

    /// Has the weights of a proposed map loaded.
    fn start_loading(self: &Arc<Self>) {
        let Some((map, content)) = self.state.lock().take_loading() else {
            return;
        };
        let group = Arc::clone(self);
        spawn(async move { group.load(map, &content).await }).detach();
    }

    async fn load(&self, map: MapVersion, content: &ExpertMap) {
        let rank = self.settings.rank;
        let end = usize::from(rank) + usize::from(self.settings.ranks);
        let result = match content.ranks.get(usize::from(rank)..end) {
            Some(slots) => self.backend.load_weights(&WeightsCall { map, rank, slots }).await,
            None => return log::error!("group: map {} has too few ranks", map.0),
        };
        if let Err(error) = &result {
            log::warn!("group: the weights of map {} are not loaded: {error}", map.0);
            sleep_until(monotonic_now().plus_millis(WEIGHTS_RETRY_MS)).await;
        }
        self.state.lock().loading_ended(map, result.is_ok());
        self.wake.wake();
    }
}
