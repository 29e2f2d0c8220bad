//! Coordinates expert maps and step permits for the group of ranks that the engine is part of.
//!
//! `state` makes the decisions without I/O; this module accesses the log and calls the engine. Permits are renewed by a
//! separate task, so that a slow log does not stall the group.

mod placement_planner;
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
    agent::Notify,
    backend::{BackendClient, WeightsCall},
};

/// The usual interval between reads, in milliseconds. It is a small fraction of the lead time of a switch.
const IDLE_POLL_INTERVAL_MS: u64 = 500;

/// The interval between reads while a switch is undecided or no generation names this incarnation, in milliseconds.
const BUSY_POLL_INTERVAL_MS: u64 = 100;

/// The timeout of a read or an append, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 1_000;

/// The interval at which permits are renewed, in milliseconds. Permits cover 2 s.
const PERMIT_INTERVAL_MS: u64 = 200;

/// The delay before a failed load of weights is retried, in milliseconds.
const WEIGHTS_RETRY_DELAY_MS: u64 = 1_000;

/// The maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 1_000;

/// The group of ranks that the engine is part of.
pub(crate) struct Group {
    settings: GroupSettings,
    stream: String,
    backend: BackendClient,
    log: LogClient,
    state: Mutex<GroupState>,
    wake: Notify,
}

impl Group {
    /// Returns the group, if the settings make the engine part of one.
    pub(crate) fn new(params: &AgentParams, backend: &BackendClient, log: &LogClient) -> Option<Arc<Self>> {
        let settings = params.group.clone()?;
        let identity = &params.identity;
        let writer = WriterId { instance: identity.instance.clone(), generation: identity.generation };
        Some(Arc::new(Self {
            stream: format!("maps-{}", settings.name),
            backend: backend.clone(),
            log: log.clone(),
            state: Mutex::new(GroupState::new(writer, &settings, monotonic_now())),
            wake: Notify::new(),
            settings,
        }))
    }

    /// Returns the status for the dump.
    pub(crate) fn status(&self) -> Value {
        let mut status = self.state.lock().status();
        status["name"] = self.settings.name.as_str().into();
        status
    }

    /// Reads the group's log stream and appends votes and proposals. Never returns.
    pub(crate) async fn follow_log(self: Arc<Self>) {
        loop {
            if self.read_page().await {
                continue;
            }
            if self.state.lock().may_append() {
                self.plan().await;
                let records = self.state.lock().records_to_append(monotonic_now());
                self.append(records).await;
            }
            self.start_loading();
            let wait_ms = if self.state.lock().needs_fast_polling() {
                BUSY_POLL_INTERVAL_MS
            } else {
                IDLE_POLL_INTERVAL_MS
            };
            future::or(self.wake.wait(), sleep_until(monotonic_now().plus_millis(wait_ms))).await;
        }
    }

    /// Renews the permits of the engine's ranks. Never returns.
    pub(crate) async fn permit_steps(self: Arc<Self>) {
        loop {
            let next = monotonic_now().plus_millis(PERMIT_INTERVAL_MS);
            self.permit().await;
            sleep_until(next).await;
        }
    }

    async fn permit(&self) {
        let view = match self.backend.group_view().await {
            Ok(view) => view,
            Err(error) => return log::debug!("group: reading the group's state failed: {error}"),
        };
        // The permit must be sent without further delay, because the decision depends on the current time.
        let permit = self.state.lock().next_permit(monotonic_now(), &view);
        let Some(permit) = permit else {
            return;
        };
        match self.backend.permit(&permit).await {
            Ok(()) => self.state.lock().record_permit_accepted(&permit),
            Err(error) => log::warn!("group: permit through step {} failed: {error}", permit.through_step),
        }
    }

    /// Reads one page. Returns whether the page was full, so that more records may follow.
    async fn read_page(&self) -> bool {
        let from = self.state.lock().next_offset();
        let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
        match self.log.read::<Value>(&self.stream, from, MAX_PAGE_RECORDS, deadline).await {
            Ok(page) => {
                let records: Vec<_> = page
                    .records
                    .iter()
                    .map(|record| (record.offset, MapRecord::deserialize(&record.data).ok()))
                    .collect();
                self.state.lock().apply_page(monotonic_now(), page.first, &records);
                records.len() >= MAX_PAGE_RECORDS
            }
            Err(error) => {
                log::debug!("group: read failed: {error}");
                self.state.lock().record_log_unavailable(monotonic_now());
                false
            }
        }
    }

    /// Appends records. Whether they take effect is known only once they are read back.
    async fn append(&self, records: Vec<MapRecord>) {
        if records.is_empty() {
            return;
        }
        let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
        match self.log.append(&self.stream, &records, deadline).await {
            Ok(_) => self.wake.notify(),
            Err(error) => log::warn!("group: append failed: {error}"),
        }
    }

    /// Plans the placement if a plan is due and this agent may propose a switch.
    async fn plan(&self) {
        if !self.state.lock().plan_is_due(monotonic_now()) {
            return;
        }
        match self.backend.group_load().await {
            Ok(load) => self.state.lock().plan(monotonic_now(), &load),
            Err(error) => log::debug!("group: reading the token counts failed: {error}"),
        }
    }

    /// Starts to load the weights of a map, if there is one to load.
    fn start_loading(self: &Arc<Self>) {
        let Some((map, content)) = self.state.lock().take_map_to_load() else {
            return;
        };
        let group = Arc::clone(self);
        spawn(async move { group.load_weights(map, &content).await }).detach();
    }

    async fn load_weights(&self, map: MapVersion, content: &ExpertMap) {
        let rank = self.settings.rank;
        let end = usize::from(rank) + usize::from(self.settings.ranks);
        let result = match content.ranks.get(usize::from(rank)..end) {
            Some(slots) => self.backend.load_weights(&WeightsCall { map, rank, slots }).await,
            None => return log::error!("group: map {} has too few ranks", map.0),
        };
        if let Err(error) = &result {
            log::warn!("group: loading the weights of map {} failed: {error}", map.0);
            sleep_until(monotonic_now().plus_millis(WEIGHTS_RETRY_DELAY_MS)).await;
        }
        self.state.lock().record_loading_ended(map, result.is_ok());
        self.wake.notify();
    }
}
