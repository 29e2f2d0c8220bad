//! The configuration of one process and its freshness.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, InstanceId, Timestamp, ZoneName};
use fuchsiabay_config::{ConfigRecord, ConfigReducer, Freshness, Millis, Readers, VersionedConfig};
use fuchsiabay_runtime::{Instance, InstanceState, LogPage, Peer, monotonic_now};
use fuchsiabay_wire::{ConfigPullReply, ConfigPullRequest, Role};
use parking_lot::{Mutex, RwLock};
use serde_json::{Value, json};

use crate::history::{self, ConfigHistory};

/// The timeout of a pull from a neighbour, in milliseconds. Two attempts fit into the time for which a configuration
/// counts as fresh.
const PULL_TIMEOUT_MS: u64 = 1_500;

/// The log stream of the configuration.
pub(crate) const CONFIG_STREAM: &str = "config";

/// Holds the configuration of one process and tracks whether it is confirmed to be current.
#[derive(Debug)]
pub struct ConfigFollower {
    own_id: InstanceId,
    zone: ZoneName,
    state: Mutex<State>,
    /// Stored outside `state`, because every request reads it.
    in_force: RwLock<Option<Arc<VersionedConfig>>>,
}

#[derive(Debug)]
struct State {
    reducer: ConfigReducer,
    freshness: Freshness,
    readers: Readers,
    /// The live entry instances in this process's zone, according to the instance list.
    zone_entries: Vec<InstanceId>,
    history: ConfigHistory,
    /// The content hash of the configuration in force.
    hash: Option<Fingerprint>,
    /// Whether the next pull requests the full state, because the deltas of a neighbour did not apply.
    needs_full_state: bool,
}

impl ConfigFollower {
    /// Returns the follower of the process `own_id` in `zone`, without a configuration.
    pub fn new(own_id: InstanceId, zone: ZoneName) -> Arc<Self> {
        let freshness = Freshness::new(own_id.clone());
        let state = State {
            reducer: ConfigReducer::default(),
            freshness,
            readers: Readers::default(),
            zone_entries: Vec::new(),
            history: ConfigHistory::default(),
            hash: None,
            needs_full_state: false,
        };
        Arc::new(Self { own_id, zone, state: Mutex::new(state), in_force: RwLock::new(None) })
    }

    /// Returns the configuration in force, whether or not it is fresh.
    pub fn in_force(&self) -> Option<Arc<VersionedConfig>> {
        self.in_force.read().clone()
    }

    /// Returns the configuration in force, or `None` if it is not confirmed to be current. New requests must not be
    /// served then.
    pub fn in_force_if_fresh(&self, now: Timestamp) -> Option<Arc<VersionedConfig>> {
        if !self.is_fresh(now) {
            return None;
        }
        self.in_force()
    }

    /// Returns whether the configuration is confirmed to be current.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.state.lock().freshness.is_fresh(now)
    }

    /// Returns the reply to a pull from a neighbour.
    pub fn reply(&self, req: &ConfigPullRequest, now: Timestamp) -> ConfigPullReply {
        let state = self.state.lock();
        let newer = state.reducer.in_force().filter(|in_force| in_force.version > req.have_version);
        let deltas = newer.and_then(|_| state.history.deltas_since(req.have_version)).unwrap_or_default();
        let full_state = newer.filter(|_| deltas.is_empty());
        ConfigPullReply {
            version: state.reducer.version(),
            age_ms: state.freshness.age_ms(now).unwrap_or(u64::MAX),
            state: full_state.and_then(|in_force| serde_json::to_value(in_force.as_ref()).ok()),
            state_hash: if deltas.is_empty() { None } else { state.hash },
            deltas,
            reader: state.readers.contains(&self.own_id),
            log_down: state.freshness.is_log_down(now),
        }
    }

    /// Returns the state to show to operators.
    pub fn dump(&self, now: Timestamp) -> Value {
        let state = self.state.lock();
        json!({
            "version": state.reducer.version(),
            "preset": state.reducer.in_force().map(|in_force| &in_force.preset_name),
            "fresh": state.freshness.is_fresh(now),
            "age_ms": state.freshness.age_ms(now),
            "outage": state.freshness.is_log_outage(now),
            "reader": state.readers.contains(&self.own_id),
            "readers": state.readers.iter().collect::<Vec<_>>(),
        })
    }

    /// Updates the readers and the entry instances of the zone from the instance list.
    pub fn update_members(&self, instances: &[Instance]) {
        let live = || {
            instances
                .iter()
                .filter(|instance| instance.role == Role::Entry && instance.state == InstanceState::Live)
        };
        let readers = Readers::choose(live().map(|instance| (&instance.id, &instance.zone)));
        let in_zone = live().filter(|instance| instance.zone == self.zone);
        let zone_entries = in_zone.map(|instance| instance.id.clone()).collect();
        let mut state = self.state.lock();
        state.freshness.set_readers(&readers);
        state.zone_entries = zone_entries;
        state.readers = readers;
    }

    /// Pulls the configuration from one neighbour. Returns whether the configuration is fresh afterwards.
    pub async fn pull_from(&self, peer: &Peer) -> bool {
        let requested_at = monotonic_now();
        let req = ConfigPullRequest { have_version: self.pull_version() };
        let reply = peer.call("config_pull", &req, requested_at.plus_millis(PULL_TIMEOUT_MS)).await;
        match reply {
            Ok(reply) => self.apply_reply(&peer.hello().instance, requested_at, reply),
            Err(error) => {
                log::debug!("config: pull from {} failed: {error}", peer.hello().instance);
                self.state.lock().freshness.reader_unreachable(&peer.hello().instance);
            }
        }
        self.is_fresh(monotonic_now())
    }

    /// Returns the version to request changes from. Zero requests the full state.
    fn pull_version(&self) -> u64 {
        let state = self.state.lock();
        if state.needs_full_state { 0 } else { state.reducer.version() }
    }

    pub(crate) fn reader_unreachable(&self, reader: &InstanceId) {
        self.state.lock().freshness.reader_unreachable(reader);
    }

    fn apply_reply(&self, neighbour: &InstanceId, requested_at: Timestamp, mut reply: ConfigPullReply) {
        let mut state = self.state.lock();
        if !state.update_from(neighbour, &mut reply) {
            return;
        }
        state.freshness.reader_responded(neighbour, requested_at, reply.log_down);
        // The neighbour only confirms its own version. With a lower version, this process has not caught up.
        if reply.version != 0 && state.reducer.version() >= reply.version {
            state.freshness.confirm(requested_at, reply.age_ms);
        }
        self.update_in_force(&mut state);
    }

    /// Applies a page of the log that was requested at `requested_at`. Returns whether there may be more records.
    pub(crate) fn apply_page(&self, requested_at: Timestamp, page: &LogPage<Value>, max: usize) -> bool {
        let mut state = self.state.lock();
        state.reducer.skip_to(page.first);
        for record in &page.records {
            state.reducer.apply_raw(record.offset, record.at, &record.data);
        }
        let more = page.records.len() >= max;
        // Without a base version, the reader may have missed records, so reading to the end does not confirm its state.
        if !more && state.reducer.base_version().is_some() {
            state.freshness.log_read(requested_at);
        }
        self.update_in_force(&mut state);
        more
    }

    pub(crate) fn log_failed(&self, requested_at: Timestamp) {
        self.state.lock().freshness.log_failed(requested_at);
    }

    /// Returns whether this process must read the log: it is a reader, no reader is known, or its configuration is
    /// nearly stale because no neighbour confirms it.
    pub(crate) fn reads_log(&self, now: Timestamp) -> bool {
        let state = self.state.lock();
        state.readers.contains(&self.own_id)
            || state.readers.iter().next().is_none()
            || is_nearly_stale(&state, now)
    }

    /// Returns the instances to pull from: the readers in the same zone, and all readers while the configuration is
    /// nearly stale or the log is down.
    ///
    /// A reader that finds the log down also pulls from the entry instances in its zone. One of them may have read a
    /// change that no reader has read, because an instance whose configuration is nearly stale reads the log itself.
    pub(crate) fn pull_targets(&self, now: Timestamp) -> Vec<InstanceId> {
        let state = self.state.lock();
        let all_readers = is_nearly_stale(&state, now) || state.freshness.is_log_down(now);
        let whole_zone = state.readers.contains(&self.own_id) && state.freshness.is_log_down(now);
        let targets: Vec<InstanceId> = if whole_zone {
            let others = state.zone_entries.iter().filter(|id| !state.readers.contains(id));
            state.readers.iter().chain(others).cloned().collect()
        } else if all_readers {
            state.readers.iter().cloned().collect()
        } else if state.readers.contains(&self.own_id) {
            Vec::new()
        } else {
            state.readers.in_zone(&self.zone).to_vec()
        };
        targets.into_iter().filter(|target| *target != self.own_id).collect()
    }

    pub(crate) fn next_offset(&self) -> u64 {
        self.state.lock().reducer.next_offset().unwrap_or(0)
    }

    /// Returns the snapshot to append, if one is due at `log_now` on the log's clock. `jitter_ms` delays it.
    pub(crate) fn due_snapshot(
        &self,
        log_now: Timestamp,
        retention: Millis,
        jitter_ms: u64,
    ) -> Option<ConfigRecord> {
        self.state.lock().reducer.due_snapshot(log_now, retention, jitter_ms)
    }

    /// Puts the reducer's configuration in force if its version is higher than that of the one in force.
    fn update_in_force(&self, state: &mut State) {
        let previous = self.in_force();
        let version = previous.as_ref().map_or(0, |in_force| in_force.version);
        let Some(in_force) = state.reducer.in_force().filter(|in_force| in_force.version > version) else {
            return;
        };
        state.hash = history::state_hash(in_force);
        if let Some(previous) = previous.filter(|_| state.history.deltas_since(version).is_none()) {
            state.history.record(&previous, in_force);
        }
        log::info!("config: version {} with preset {} is in force", in_force.version, in_force.preset_name);
        *self.in_force.write() = Some(Arc::clone(in_force));
    }
}

impl State {
    /// Updates the configuration from a neighbour's reply. Returns whether the reply was valid.
    fn update_from(&mut self, neighbour: &InstanceId, reply: &mut ConfigPullReply) -> bool {
        if let Some(value) = reply.state.take() {
            let Ok(config) = serde_json::from_value(value) else {
                log::warn!("config: cannot parse the state sent by {neighbour}");
                return false;
            };
            self.needs_full_state = false;
            self.reducer.adopt(config);
            return true;
        }
        let (Some(last), Some(current)) = (reply.deltas.last(), self.reducer.in_force()) else {
            return true;
        };
        // A newer version may have arrived from the log or another neighbour in the meantime.
        if last.to <= current.version {
            return true;
        }
        let Some(config) = ConfigHistory::apply(current, &reply.deltas, reply.state_hash) else {
            log::warn!("config: cannot apply the deltas sent by {neighbour}; requesting the full state");
            self.needs_full_state = true;
            return false;
        };
        self.reducer.adopt(config);
        self.history.extend(std::mem::take(&mut reply.deltas));
        true
    }
}

/// The age at which a configuration counts as nearly stale, in milliseconds. A process then uses other sources, while
/// there is still time to confirm the configuration before it expires.
const NEARLY_STALE_MS: u64 = fuchsiabay_config::CONFIG_LIFETIME_MS / 2;

fn is_nearly_stale(state: &State, now: Timestamp) -> bool {
    state.freshness.age_ms(now).is_none_or(|age| age > NEARLY_STALE_MS)
}
