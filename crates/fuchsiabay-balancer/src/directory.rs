//! The directory of backend servers, as far as this instance knows.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::{InstanceId, Timestamp, mechanism};
use serde::{Deserialize, Serialize};

use crate::{ServerRecord, ServerState};

/// The time after an outage of the store within which entries that lapsed meanwhile come back, in milliseconds.
const LAPSE_GRACE_MS: u64 = 2_000;

/// The time for which the last record of a server that is gone is kept, in milliseconds. A delayed older record of
/// it must not bring it back.
const TOMBSTONE_MS: u64 = 60_000;

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerChange {
    /// A heartbeat.
    Heartbeat(ServerRecord),
    /// The entry was removed.
    Removed(InstanceId),
    /// The server had left when a neighbour knew this record of it. A later record outweighs it.
    Left(ServerRecord),
}

#[derive(Clone, Debug)]
struct Entry {
    record: Arc<ServerRecord>,
    /// When the server counts as gone. None while its entry is there.
    gone_at: Option<Timestamp>,
    /// The revision of the directory in which the entry changed last.
    revision: u64,
}

impl Entry {
    /// Returns the change that brings another directory to this entry.
    fn change(&self, now: Timestamp) -> ServerChange {
        let record = (*self.record).clone();
        if self.gone_at.is_some_and(|at| at <= now) {
            return ServerChange::Left(record);
        }
        ServerChange::Heartbeat(record)
    }
}

/// The directory. It keeps the newest record of each server.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<InstanceId, Entry>,
    /// When the last outage of the store ended, as seen from here.
    outage_ended_at: Option<Timestamp>,
    /// When `expire` was called last.
    expired_at: Timestamp,
    /// Counts the changes. A heartbeat that only counts on is none.
    revision: u64,
}

impl Directory {
    /// Notes that the store answers again after it did not.
    pub fn note_outage_end(&mut self, now: Timestamp) {
        self.outage_ended_at = Some(now);
    }

    /// Applies `change`. Returns whether the set of usable servers or one of their records changed.
    pub fn apply(&mut self, change: ServerChange, now: Timestamp) -> bool {
        match change {
            ServerChange::Heartbeat(record) => self.heartbeat(record, now),
            ServerChange::Removed(id) => self.remove(&id, now),
            ServerChange::Left(record) => self.leave(record, now),
        }
    }

    /// Replaces the directory by a full listing: what it does not name is removed.
    pub fn replace(&mut self, records: Vec<ServerRecord>, now: Timestamp) {
        let missing: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.gone_at.is_none() && records.iter().all(|record| record.id != **id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        for record in records {
            self.heartbeat(record, now);
        }
    }

    /// Returns the servers that may get new work.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.listed(now).filter(|record| record.state == ServerState::Ready)
    }

    /// Returns the servers whose entries are there, or lapsed so lately that they may come back.
    pub fn listed(&self, now: Timestamp) -> impl Iterator<Item = &Arc<ServerRecord>> {
        let present = move |entry: &&Entry| entry.gone_at.is_none_or(|at| at > now);
        self.entries.values().filter(present).map(|entry| &entry.record)
    }

    /// Returns the present revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what changed after `revision`. What changed after 0 is the whole directory.
    pub fn changes_since(&self, revision: u64, now: Timestamp) -> Vec<ServerChange> {
        let changed = self.entries.values().filter(|entry| entry.revision > revision);
        changed.map(|entry| entry.change(now)).collect()
    }

    /// Forgets servers that have been gone for long. Returns whether a server became gone since the last call.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let since = std::mem::replace(&mut self.expired_at, now);
        let has_left = |entry: &&mut Entry| entry.gone_at.is_some_and(|at| at > since && at <= now);
        let mut changed = false;
        for entry in self.entries.values_mut().filter(has_left) {
            self.revision += 1;
            entry.revision = self.revision;
            changed = true;
        }
        self.entries.retain(|_, entry| entry.gone_at.is_none_or(|at| at.plus_millis(TOMBSTONE_MS) > now));
        changed
    }

    fn heartbeat(&mut self, record: ServerRecord, now: Timestamp) -> bool {
        self.supersede(&record, now);
        let Some(entry) = self.entries.get_mut(&record.id) else {
            self.revision += 1;
            let entry = Entry { record: Arc::new(record), gone_at: None, revision: self.revision };
            self.entries.insert(entry.record.id.clone(), entry);
            return true;
        };
        if record.age_key() <= entry.record.age_key() {
            return false;
        }
        // A life that said it is leaving does not come back; only a new life does.
        let leaving = entry.record.state == ServerState::Draining && record.born_ms == entry.record.born_ms;
        if leaving && record.state == ServerState::Ready && record.born_ms != 0 {
            return false;
        }
        let only_counts = entry.gone_at.is_none() && record.says_the_same(&entry.record);
        entry.record = Arc::new(record);
        entry.gone_at = None;
        if !only_counts {
            self.revision += 1;
            entry.revision = self.revision;
        }
        !only_counts
    }

    /// Removes the servers that had the address of `record` before it. The entry of a server that crashed stays for seconds
    /// after the next one has started in its place.
    fn supersede(&mut self, record: &ServerRecord, now: Timestamp) {
        for (id, entry) in &mut self.entries {
            let is_former = entry.record.address == record.address && entry.record.born_ms < record.born_ms;
            if *id != record.id && is_former && entry.gone_at.is_none() {
                entry.gone_at = Some(now);
                self.revision += 1;
                entry.revision = self.revision;
            }
        }
    }

    /// Takes over that a server has left. Its record is kept, so that an older one cannot bring the server back.
    fn leave(&mut self, record: ServerRecord, now: Timestamp) -> bool {
        let known = self.entries.get_mut(&record.id);
        if let Some(entry) = known {
            if entry.record.age_key() > record.age_key() && mechanism("left-names-record") {
                return false;
            }
            // Two instances that tell each other what both know must come to rest.
            if entry.gone_at.is_some_and(|at| at <= now) {
                entry.record = Arc::new(record);
                return false;
            }
        }
        self.revision += 1;
        let entry = Entry { record: Arc::new(record), gone_at: Some(now), revision: self.revision };
        self.entries.insert(entry.record.id.clone(), entry).is_some()
    }

    fn remove(&mut self, id: &InstanceId, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.gone_at.is_some() {
            return false;
        }
        let grace_end = self.outage_ended_at.map(|ended| ended.plus_millis(LAPSE_GRACE_MS));
        entry.gone_at = Some(grace_end.map_or(now, |end| end.max(now)));
        self.revision += 1;
        entry.revision = self.revision;
        true
    }
}
