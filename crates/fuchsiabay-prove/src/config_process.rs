//! A process that follows the configuration on virtual time: the real reducer and freshness, called as
//! `fuchsiabay-follow` calls them.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiabay_base::{InstanceId, Timestamp, ZoneName};
use fuchsiabay_config::{
    CONFIG_LIFETIME_MS, ConfigRecord, ConfigReducer, Freshness, Millis, Readers, VersionedConfig,
};

use crate::{config_script::ENTRIES, fake_log::StoredRecord};

/// The retention of the log. It is short, so that a case spans several retention periods.
pub(crate) const RETENTION_MS: u64 = 20_000;
/// The age of the last confirmation above which an entry instance pulls from every reader and reads the log itself.
const NEARLY_STALE_MS: u64 = CONFIG_LIFETIME_MS / 2;

/// The reply to a pull.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    version: u64,
    age_ms: u64,
    state: Option<Arc<VersionedConfig>>,
    log_down: bool,
}

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) index: usize,
    pub(crate) zone: usize,
    /// Grows with each restart.
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: Timestamp,
    pub(crate) log_unreachable_until: Timestamp,
    pub(crate) peers_unreachable_until: Timestamp,
    pub(crate) delayed_until: Timestamp,
    pub(crate) max_delay_ms: u64,
    /// The number of the current polling round.
    pub(crate) round: usize,
    /// The target of each pull that awaits a reply.
    pub(crate) pulls: BTreeMap<u64, usize>,
    /// The id of the log read in progress.
    pub(crate) read: Option<u64>,
    /// The last version that this incarnation served.
    pub(crate) served_version: u64,
    pub(crate) reducer: ConfigReducer,
    pub(crate) freshness: Freshness,
    readers: Readers,
    /// The listed entry instances in the zone of this process.
    zone_entries: Vec<InstanceId>,
}

impl Process {
    pub(crate) fn new(index: usize) -> Self {
        let zone = if index < ENTRIES { index / 3 } else { index - ENTRIES };
        Self {
            index,
            zone,
            incarnation: 1,
            alive: true,
            frozen_until: Timestamp::ZERO,
            log_unreachable_until: Timestamp::ZERO,
            peers_unreachable_until: Timestamp::ZERO,
            delayed_until: Timestamp::ZERO,
            max_delay_ms: 0,
            round: 0,
            pulls: BTreeMap::new(),
            read: None,
            served_version: 0,
            reducer: ConfigReducer::default(),
            freshness: Freshness::new(instance(index)),
            readers: Readers::default(),
            zone_entries: Vec::new(),
        }
    }

    /// Ends this incarnation. The next one starts without any state.
    pub(crate) fn kill(&mut self) {
        *self = Self { incarnation: self.incarnation + 1, alive: false, ..Self::new(self.index) };
    }

    pub(crate) fn is_entry(&self) -> bool {
        self.index < ENTRIES
    }

    /// Updates the readers from the list of entry instances. Agents do not use it.
    pub(crate) fn update_members(&mut self, listed: &[bool; ENTRIES]) {
        if !self.is_entry() {
            return;
        }
        let ids: Vec<(InstanceId, ZoneName)> = (0..ENTRIES)
            .filter(|i| listed[*i])
            .map(|i| (instance(i), ZoneName::new((i / 3).to_string())))
            .collect();
        let own_zone = ZoneName::new(self.zone.to_string());
        let in_zone = ids.iter().filter(|(_, zone)| *zone == own_zone);
        self.zone_entries = in_zone.map(|(id, _)| id.clone()).collect();
        self.readers = Readers::choose(ids.iter().map(|(id, zone)| (id, zone)));
        self.freshness.set_readers(&self.readers);
    }

    pub(crate) fn reads_log(&self, now: Timestamp) -> bool {
        self.is_entry() && (self.readers.contains(&instance(self.index)) || self.is_nearly_stale(now))
    }

    /// Returns the processes to pull from in this round.
    pub(crate) fn pull_targets(&self, now: Timestamp, reachable: &[usize]) -> Vec<usize> {
        if !self.is_entry() {
            let max_targets = if self.freshness.is_fresh(now) { 1 } else { 3 };
            let count = reachable.len();
            return (0..max_targets.min(count)).map(|i| reachable[(self.round + i) % count]).collect();
        }
        let own = instance(self.index);
        let all_readers = self.is_nearly_stale(now) || self.freshness.is_log_down(now);
        let zone = ZoneName::new(self.zone.to_string());
        let whole_zone = self.readers.contains(&own) && self.freshness.is_log_down(now);
        let targets: Vec<&InstanceId> = if whole_zone {
            self.readers.iter().chain(&self.zone_entries).collect()
        } else if all_readers {
            self.readers.iter().collect()
        } else if self.readers.contains(&own) {
            Vec::new()
        } else {
            self.readers.in_zone(&zone).iter().collect()
        };
        (0..ENTRIES).filter(|i| *i != self.index && targets.iter().any(|id| **id == instance(*i))).collect()
    }

    pub(crate) fn reply(&self, now: Timestamp, have_version: u64) -> Reply {
        let newer = self.reducer.in_force().filter(|state| state.version > have_version);
        Reply {
            version: self.reducer.version(),
            age_ms: self.freshness.age_ms(now).unwrap_or(u64::MAX),
            state: newer.cloned(),
            log_down: self.freshness.is_log_down(now),
        }
    }

    pub(crate) fn apply_reply(&mut self, from: usize, requested_at: Timestamp, reply: Reply) {
        if let Some(state) = reply.state {
            self.reducer.adopt(state.as_ref().clone());
        }
        self.freshness.reader_responded(&instance(from), requested_at, reply.log_down);
        if reply.version != 0 && self.reducer.version() >= reply.version {
            self.freshness.confirm(requested_at, reply.age_ms);
        }
    }

    pub(crate) fn mark_unreachable(&mut self, target: usize) {
        self.freshness.reader_unreachable(&instance(target));
    }

    pub(crate) fn apply_page(
        &mut self,
        requested_at: Timestamp,
        first: u64,
        records: &[StoredRecord<ConfigRecord>],
    ) {
        self.reducer.skip_to(first);
        for record in records {
            self.reducer.apply(record.offset, record.at, &record.data);
        }
        if self.reducer.base_version().is_some() {
            self.freshness.log_read(requested_at);
        }
    }

    /// Returns the snapshot to append, if one is due.
    pub(crate) fn due_snapshot(&mut self, now: Timestamp) -> Option<ConfigRecord> {
        let jitter_ms = self.index as u64 * 250;
        self.reducer.due_snapshot(now, Millis(RETENTION_MS), jitter_ms)
    }

    fn is_nearly_stale(&self, now: Timestamp) -> bool {
        self.freshness.age_ms(now).is_none_or(|age| age > NEARLY_STALE_MS)
    }
}

fn instance(index: usize) -> InstanceId {
    InstanceId::new(format!("process-{index}"))
}
