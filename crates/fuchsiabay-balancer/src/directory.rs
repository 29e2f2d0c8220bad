//! The directory of backend servers, as far as this instance knows.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::{InstanceId, Timestamp, is_mechanism_enabled};
use serde::{Deserialize, Serialize};

use crate::{ServerRecord, ServerState};

/// The time after an outage of the store within which entries that lapsed meanwhile come back, in milliseconds.
const LAPSE_GRACE_MS: u64 = 2_000;

/// The time for which the last record of a server that is gone is kept, in milliseconds. A delayed older record of
/// it must not bring it back.
const TOMBSTONE_MS: u64 = 60_000;

/// A change of the directory, as the store tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A heartbeat.
    Heartbeat(ServerRecord),
    /// The entry was removed.
    Removed(InstanceId),
}

/// What a neighbour knows of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The last record of the server.
    pub record: ServerRecord,
    /// Whether the server has left.
    pub has_left: bool,
    /// The position in the store's order of changes as of which this is known.
    pub position: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Arc<ServerRecord>,
    /// The position in the store's order of changes as of which the entry is known.
    position: u64,
    /// When the server counts as gone. None while its entry is there.
    gone_at: Option<Timestamp>,
    /// The revision of the directory in which the entry changed last.
    revision: u64,
}

impl Entry {
    /// Returns what a neighbour is told of this entry.
    fn news(&self, now: Timestamp) -> DirectoryEntry {
        let has_left = self.is_gone(now);
        DirectoryEntry { record: (*self.record).clone(), has_left, position: self.position }
    }

    /// Notes a change that neighbours must be told.
    const fn mark_changed(&mut self, revision: &mut u64) {
        *revision += 1;
        self.revision = *revision;
    }

    /// Returns whether the entry is known as of a later position.
    fn is_after(&self, position: u64) -> bool {
        self.position > position && is_mechanism_enabled("store-order")
    }

    fn is_gone(&self, now: Timestamp) -> bool {
        self.gone_at.is_some_and(|at| at <= now)
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

    /// Applies the change that is at `position` in the store's order of changes. Returns whether the set of usable servers or
    /// one of their records changed.
    pub fn apply(&mut self, change: ServerChange, position: u64, now: Timestamp) -> bool {
        match change {
            ServerChange::Heartbeat(record) => self.heartbeat(record, position, now),
            ServerChange::Removed(id) => self.remove(&id, position, now),
        }
    }

    /// Takes over what a neighbour knows. Returns the same as [`Directory::apply`].
    pub fn merge(&mut self, news: DirectoryEntry, now: Timestamp) -> bool {
        if !news.has_left {
            return self.heartbeat(news.record, news.position, now);
        }
        let known = self.entries.get(&news.record.id);
        if known.is_some_and(|entry| entry.is_gone(now) || entry.is_after(news.position)) {
            return false;
        }
        self.leave(news, now)
    }

    /// Replaces the directory by the full listing as of `position`: what it does not name is removed.
    pub fn replace(&mut self, records: Vec<ServerRecord>, position: u64, now: Timestamp) {
        let missing: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.gone_at.is_none() && records.iter().all(|record| record.id != **id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.remove(&id, position, now);
        }
        for record in records {
            self.heartbeat(record, position, now);
        }
    }

    /// Returns the servers that may get new work.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.listed(now).filter(|record| record.state == ServerState::Ready)
    }

    /// Returns the servers whose entries are there, or lapsed so lately that they may come back.
    pub fn listed(&self, now: Timestamp) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.entries.values().filter(move |entry| !entry.is_gone(now)).map(|entry| &entry.record)
    }

    /// Returns the present revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what changed after `revision`. What changed after 0 is the whole directory.
    pub fn changes_since(&self, revision: u64, now: Timestamp) -> Vec<DirectoryEntry> {
        // Whether a server that lapsed comes back is not known yet.
        let is_settled = |entry: &Entry| entry.gone_at.is_none() || entry.is_gone(now);
        let changed = self.entries.values().filter(|entry| entry.revision > revision && is_settled(entry));
        changed.map(|entry| entry.news(now)).collect()
    }

    /// Forgets servers that have been gone for long. Returns whether a server became gone since the last call.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let since = std::mem::replace(&mut self.expired_at, now);
        let has_left = |entry: &&mut Entry| entry.gone_at.is_some_and(|at| at > since && at <= now);
        let mut changed = false;
        for entry in self.entries.values_mut().filter(has_left) {
            entry.mark_changed(&mut self.revision);
            changed = true;
        }
        self.entries.retain(|_, entry| entry.gone_at.is_none_or(|at| at.plus_millis(TOMBSTONE_MS) > now));
        changed
    }

    fn heartbeat(&mut self, record: ServerRecord, position: u64, now: Timestamp) -> bool {
        self.supersede(&record, now);
        let Some(entry) = self.entries.get_mut(&record.id) else {
            self.revision += 1;
            let entry = Entry { record: Arc::new(record), position, gone_at: None, revision: self.revision };
            self.entries.insert(entry.record.id.clone(), entry);
            return true;
        };
        if position <= entry.position && is_mechanism_enabled("store-order") {
            return false;
        }
        // A heartbeat that was on its way for long comes after later ones.
        if record.age_key() <= entry.record.age_key() && is_mechanism_enabled("newest-record") {
            return false;
        }
        // A life that said it is leaving does not come back; only a new life does.
        let leaving = entry.record.state == ServerState::Draining && record.born_ms == entry.record.born_ms;
        if leaving && record.state == ServerState::Ready && record.born_ms != 0 {
            return false;
        }
        let only_counts = entry.gone_at.is_none() && record.says_the_same(&entry.record);
        (entry.record, entry.position) = (Arc::new(record), position);
        entry.gone_at = None;
        if !only_counts {
            entry.mark_changed(&mut self.revision);
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
                entry.mark_changed(&mut self.revision);
            }
        }
    }

    /// Takes over that a server has left. The later record is kept, so that an older one cannot bring the server back.
    fn leave(&mut self, news: DirectoryEntry, now: Timestamp) -> bool {
        self.revision += 1;
        let DirectoryEntry { record, position, .. } = news;
        let known = self.entries.remove(&record.id);
        let was_known = known.is_some();
        let later = known.map(|entry| entry.record).filter(|known| known.age_key() > record.age_key());
        let record = later.unwrap_or_else(|| Arc::new(record));
        let entry = Entry { record, position, gone_at: Some(now), revision: self.revision };
        self.entries.insert(entry.record.id.clone(), entry);
        was_known
    }

    fn remove(&mut self, id: &InstanceId, position: u64, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.gone_at.is_some() || entry.is_after(position) {
            return false;
        }
        entry.position = position;
        let grace_end = self.outage_ended_at.map(|ended| ended.plus_millis(LAPSE_GRACE_MS));
        entry.gone_at = Some(grace_end.map_or(now, |end| end.max(now)));
        entry.mark_changed(&mut self.revision);
        true
    }
}
