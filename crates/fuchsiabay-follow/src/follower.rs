//! The configuration that one process serves under.

use std::sync::Arc;

use fuchsiabay_base::{Fingerprint, InstanceId, Timestamp, ZoneName};
use fuchsiabay_config::{ConfigRecord, ConfigReducer, Freshness, Millis, Readers, VersionedConfig};
use fuchsiabay_runtime::{Instance, InstanceState, LogPage, Peer, monotonic_now};
use fuchsiabay_wire::{ConfigPullReply, ConfigPullRequest, Role};
use parking_lot::{Mutex, RwLock};
use serde_json::{Value, json};

use crate::history::{self, ConfigHistory};

/// The time that a neighbour has to answer a pull, in milliseconds. Two tries fit into the freshness window.
const PULL_TIMEOUT_MS: u64 = 1_500;

/// The stream that carries the configuration.
pub(crate) const CONFIG_STREAM: &str = "config";

/// Holds the configuration of one process and what proves that it is current.
#[derive(Debug)]
pub struct ConfigFollower {
    own: InstanceId,
    zone: ZoneName,
    state: Mutex<State>,
    /// Apart from `state`, because every request reads it.
    current: RwLock<Option<Arc<VersionedConfig>>>,
}

#[derive(Debug)]
struct State {
    reducer: ConfigReducer,
    freshness: Freshness,
    readers: Readers,
    /// The listed entry instances of the own zone.
    zone_entries: Vec<InstanceId>,
    history: ConfigHistory,
    hash: Option<Fingerprint>,
    /// The deltas of a neighbour did not apply, so the next pull asks for the whole state.
    wants_whole: bool,
}

impl ConfigFollower {
    /// Returns the follower of the process `own` in `zone`, which knows no configuration yet.
    pub fn new(own: InstanceId, zone: ZoneName) -> Arc<Self> {
        let freshness = Freshness::new(own.clone());
        let state = State {
            reducer: ConfigReducer::default(),
            freshness,
            readers: Readers::default(),
            zone_entries: Vec::new(),
            history: ConfigHistory::default(),
            hash: None,
            wants_whole: false,
        };
        Arc::new(Self { own, zone, state: Mutex::new(state), current: RwLock::new(None) })
    }

    /// Returns the configuration in force, whether or not it is fresh.
    pub fn current(&self) -> Option<Arc<VersionedConfig>> {
        self.current.read().clone()
    }

    /// Returns the configuration to serve a new request under, or `None` when this process cannot prove that it is
    /// current.
    pub fn current_if_fresh(&self, now: Timestamp) -> Option<Arc<VersionedConfig>> {
        if !self.is_fresh(now) {
            return None;
        }
        self.current()
    }

    /// Returns whether the configuration is proved current.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.state.lock().freshness.is_fresh(now)
    }

    /// Answers a neighbour.
    pub fn reply(&self, req: &ConfigPullRequest, now: Timestamp) -> ConfigPullReply {
        let state = self.state.lock();
        let newer = state.reducer.in_force().filter(|in_force| in_force.version > req.have_version);
        let deltas = newer.and_then(|_| state.history.deltas_since(req.have_version)).unwrap_or_default();
        let whole = newer.filter(|_| deltas.is_empty());
        ConfigPullReply {
            version: state.reducer.version(),
            age_ms: state.freshness.age_ms(now).unwrap_or(u64::MAX),
            state: whole.and_then(|in_force| serde_json::to_value(in_force.as_ref()).ok()),
            state_hash: if deltas.is_empty() { None } else { state.hash },
            deltas,
            reader: state.readers.contains(&self.own),
            log_down: state.freshness.is_log_down(now),
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Timestamp) -> Value {
        let state = self.state.lock();
        json!({
            "version": state.reducer.version(),
            "preset": state.reducer.in_force().map(|in_force| &in_force.preset_name),
            "fresh": state.freshness.is_fresh(now),
            "age_ms": state.freshness.age_ms(now),
            "outage": state.freshness.is_log_outage(now),
            "reader": state.readers.contains(&self.own),
            "readers": state.readers.iter().collect::<Vec<_>>(),
        })
    }

    /// Takes the instance list over.
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

    /// Pulls from one neighbour. Returns whether the configuration is fresh afterwards.
    pub async fn pull_from(&self, peer: &Peer) -> bool {
        let asked_at = monotonic_now();
        let req = ConfigPullRequest { have_version: self.pull_version() };
        let reply = peer.call("config_pull", &req, asked_at.plus_millis(PULL_TIMEOUT_MS)).await;
        match reply {
            Ok(reply) => self.take_reply(&peer.hello().instance, asked_at, reply),
            Err(error) => {
                log::debug!("config: pull from {} failed: {error}", peer.hello().instance);
                self.state.lock().freshness.reader_unreachable(&peer.hello().instance);
            }
        }
        self.is_fresh(monotonic_now())
    }

    fn pull_version(&self) -> u64 {
        let state = self.state.lock();
        if state.wants_whole { 0 } else { state.reducer.version() }
    }

    pub(crate) fn reader_unreachable(&self, reader: &InstanceId) {
        self.state.lock().freshness.reader_unreachable(reader);
    }

    fn take_reply(&self, neighbour: &InstanceId, asked_at: Timestamp, mut reply: ConfigPullReply) {
        let mut state = self.state.lock();
        if !state.take(neighbour, &mut reply) {
            return;
        }
        state.freshness.reader_answered(neighbour, asked_at, reply.log_down);
        // The neighbour's proof covers its own version. A process with a lower one has not caught up.
        if reply.version != 0 && state.reducer.version() >= reply.version {
            state.freshness.confirm(asked_at, reply.age_ms);
        }
        self.publish(&mut state);
    }

    /// Applies a page of the log that was asked for at `asked_at`. Returns whether more records wait.
    pub(crate) fn take_page(&self, asked_at: Timestamp, page: &LogPage<Value>, max: usize) -> bool {
        let mut state = self.state.lock();
        state.reducer.skip_to(page.first);
        for record in &page.records {
            state.reducer.apply_raw(record.offset, record.at, &record.data);
        }
        let more = page.records.len() >= max;
        // Without a base the reader does not know which records it missed, so reading to the end proves nothing.
        if !more && state.reducer.base_version().is_some() {
            state.freshness.log_read(asked_at);
        }
        self.publish(&mut state);
        more
    }

    pub(crate) fn log_failed(&self, asked_at: Timestamp) {
        self.state.lock().freshness.log_failed(asked_at);
    }

    /// Returns whether this process reads the log, by its role or because its neighbours leave it without proof.
    pub(crate) fn reads_log(&self, now: Timestamp) -> bool {
        let state = self.state.lock();
        state.readers.contains(&self.own) || state.readers.iter().next().is_none() || is_ageing(&state, now)
    }

    /// Returns the instances to pull from: the readers of the own zone, and all readers while the last proof is ageing.
    ///
    /// A reader that finds the log down asks the entry instances of its zone, too. One of them may have read a change
    /// that no reader read, because an instance with an ageing proof reads the log itself.
    pub(crate) fn pull_targets(&self, now: Timestamp) -> Vec<InstanceId> {
        let state = self.state.lock();
        let all = is_ageing(&state, now) || state.freshness.is_log_down(now);
        let ask_zone = state.readers.contains(&self.own) && state.freshness.is_log_down(now);
        let targets: Vec<InstanceId> = if ask_zone {
            let others = state.zone_entries.iter().filter(|id| !state.readers.contains(id));
            state.readers.iter().chain(others).cloned().collect()
        } else if all {
            state.readers.iter().cloned().collect()
        } else if state.readers.contains(&self.own) {
            Vec::new()
        } else {
            state.readers.in_zone(&self.zone).to_vec()
        };
        targets.into_iter().filter(|reader| *reader != self.own).collect()
    }

    pub(crate) fn next_offset(&self) -> u64 {
        self.state.lock().reducer.next_offset().unwrap_or(0)
    }

    /// Returns the snapshot to append, when one is due by the log's clock `log_now`, `jitter_ms` included.
    pub(crate) fn due_snapshot(
        &self,
        log_now: Timestamp,
        retention: Millis,
        jitter_ms: u64,
    ) -> Option<ConfigRecord> {
        self.state.lock().reducer.due_snapshot(log_now, retention, jitter_ms)
    }

    fn publish(&self, state: &mut State) {
        let before = self.current();
        let version = before.as_ref().map_or(0, |in_force| in_force.version);
        let Some(in_force) = state.reducer.in_force().filter(|in_force| in_force.version > version) else {
            return;
        };
        state.hash = history::state_hash(in_force);
        if let Some(before) = before.filter(|_| state.history.deltas_since(version).is_none()) {
            state.history.record(&before, in_force);
        }
        log::info!("config: version {} with preset {} is in force", in_force.version, in_force.preset_name);
        *self.current.write() = Some(Arc::clone(in_force));
    }
}

impl State {
    /// Takes the neighbour's state over. Returns whether it was understood.
    fn take(&mut self, neighbour: &InstanceId, reply: &mut ConfigPullReply) -> bool {
        if let Some(value) = reply.state.take() {
            let Ok(in_force) = serde_json::from_value(value) else {
                log::warn!("config: state of {neighbour} is not understood");
                return false;
            };
            self.wants_whole = false;
            self.reducer.adopt(in_force);
            return true;
        }
        let (Some(last), Some(current)) = (reply.deltas.last(), self.reducer.in_force()) else {
            return true;
        };
        // The log or another neighbour may have been faster.
        if last.to <= current.version {
            return true;
        }
        let Some(in_force) = ConfigHistory::apply(current, &reply.deltas, reply.state_hash) else {
            log::warn!("config: deltas of {neighbour} do not apply; asking for the whole state");
            self.wants_whole = true;
            return false;
        };
        self.reducer.adopt(in_force);
        self.history.extend(std::mem::take(&mut reply.deltas));
        true
    }
}

/// Half of the freshness window, in milliseconds. A process that is this far without a proof looks elsewhere while there
/// is still time.
const AGEING_MS: u64 = fuchsiabay_config::CONFIG_LIFETIME_MS / 2;

fn is_ageing(state: &State, now: Timestamp) -> bool {
    state.freshness.age_ms(now).is_none_or(|age| age > AGEING_MS)
}
