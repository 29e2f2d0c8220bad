//! This instance's view of the directory of backend servers.

use std::{cmp::Ordering, collections::HashMap, sync::Arc};

use fuchsiabay_base::{InstanceId, Timestamp, is_mechanism_enabled};
use serde::{Deserialize, Serialize};

use crate::{ServerRecord, ServerState, StorePosition};

/// How long after an outage of the store the entries that expired during it are kept, in milliseconds, so that their
/// servers can register again.
const EXPIRY_GRACE_MS: u64 = 2_000;

/// How long the last record of a removed server is kept, in milliseconds. It prevents a delayed older record from
/// adding the server again.
const TOMBSTONE_MS: u64 = 60_000;

/// A change of the directory, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The server sent a heartbeat.
    Heartbeat(ServerRecord),
    /// The server's entry was removed.
    Removed(InstanceId),
}

/// A directory entry, as instances exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The last record of the server.
    pub record: ServerRecord,
    /// Whether the server has left.
    pub has_left: bool,
    /// The position in the store's change log that this entry reflects.
    #[serde(flatten)]
    pub position: StorePosition,
}

#[derive(Clone, Debug)]
struct LocalEntry {
    record: Arc<ServerRecord>,
    /// The position in the store's change log that this entry reflects.
    position: StorePosition,
    /// The time at which the server is considered to have left. `None` while its entry exists.
    departed_at: Option<Timestamp>,
    /// The directory revision of the last change of the entry.
    revision: u64,
}

impl LocalEntry {
    /// Returns the entry in the form that is sent to neighbours.
    fn to_directory_entry(&self, now: Timestamp) -> DirectoryEntry {
        let has_left = self.has_left(now);
        DirectoryEntry { record: (*self.record).clone(), has_left, position: self.position }
    }

    /// Assigns a new directory revision to the entry, so that its state is sent to neighbours.
    const fn mark_changed(&mut self, revision: &mut u64) {
        *revision += 1;
        self.revision = *revision;
    }

    /// Returns whether the entry reflects a later position than `position`.
    fn is_after(&self, position: StorePosition) -> bool {
        self.position.is_after(position) && is_mechanism_enabled("store-order")
    }

    /// Returns whether a heartbeat with `record` at `position` must not replace the entry.
    fn is_newer_than(&self, record: &ServerRecord, position: StorePosition) -> bool {
        // The heartbeats of a server are in order across restores, so what a neighbour has read before one is still news.
        let is_comparable = self.departed_at.is_some() || position.is_same_epoch(self.position);
        let is_repeated =
            is_comparable && !position.is_after(self.position) && is_mechanism_enabled("store-order");
        // A delayed heartbeat can arrive after later ones.
        let is_older = match record.version_key().cmp(&self.record.version_key()) {
            Ordering::Less => true,
            Ordering::Equal => !self.was_removed_in(position),
            Ordering::Greater => false,
        };
        let is_older = is_older && is_mechanism_enabled("newest-record");
        // A draining server does not become ready again until it restarts.
        let is_draining = self.record.state == ServerState::Draining
            && record.started_at_ms == self.record.started_at_ms
            && record.state == ServerState::Ready
            && record.started_at_ms != 0;
        is_repeated || is_older || is_draining
    }

    /// Returns whether the entry is not affected by a neighbour's `departure`. One from before a restore still applies to a server
    /// that the copy lists, unless the server has written since.
    fn outlasts(&self, departure: &DirectoryEntry) -> bool {
        let is_lost = !departure.position.is_same_epoch(self.position)
            && self.record.version_key() <= departure.record.version_key();
        self.is_after(departure.position) && !is_lost
    }

    /// Returns whether the entry was removed in the epoch of `position`. A server may then write the same record again.
    fn was_removed_in(&self, position: StorePosition) -> bool {
        self.departed_at.is_some() && position.is_same_epoch(self.position)
    }

    /// Records that the store was restored and still lists the server, or has removed it again, at `position`. Neighbours may have
    /// read the opposite from the copy, so the entry is sent to them again.
    fn confirm(&mut self, position: StorePosition, revision: &mut u64) {
        if position.is_after(self.position) && !position.is_same_epoch(self.position) {
            self.position = position;
            self.mark_changed(revision);
        }
    }

    fn has_left(&self, now: Timestamp) -> bool {
        self.departed_at.is_some_and(|at| at <= now)
    }
}

/// The directory of backend servers. It keeps the newest record of each server.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<InstanceId, LocalEntry>,
    /// When this instance could reach the store again after its last outage, or learned that the store was restored.
    outage_ended_at: Option<Timestamp>,
    /// When to ask the neighbours for their whole directories, because a listing lacked a server.
    recheck_at: Option<Timestamp>,
    /// The latest known epoch of the store.
    epoch: Option<u64>,
    /// When `expire` was last called.
    last_expire_at: Timestamp,
    /// The number of changes so far. A heartbeat in which only the sequence number differs does not count.
    revision: u64,
}

impl Directory {
    /// Records that the store can be reached again after an outage.
    pub fn record_outage_end(&mut self, now: Timestamp) {
        self.outage_ended_at = Some(now);
    }

    /// Records that the store has reached `epoch`. If it was restored since, servers that have registered after the copy was made
    /// need time to register again.
    pub fn record_epoch(&mut self, epoch: u64, now: Timestamp) {
        let known = *self.epoch.get_or_insert(epoch);
        if epoch > known {
            self.epoch = Some(epoch);
            self.record_outage_end(now);
        }
    }

    /// Applies the change at `position` of the store's change log. Returns whether the set of usable servers or one of
    /// their records changed.
    pub fn apply(&mut self, change: ServerChange, position: StorePosition, now: Timestamp) -> bool {
        self.record_epoch(position.epoch, now);
        match change {
            ServerChange::Heartbeat(record) => self.heartbeat(record, position, now),
            ServerChange::Removed(id) => self.remove(&id, position, now),
        }
    }

    /// Merges an entry received from a neighbour. Returns the same as [`Directory::apply`].
    pub fn merge(&mut self, update: DirectoryEntry, now: Timestamp) -> bool {
        if !update.has_left {
            return self.heartbeat(update.record, update.position, now);
        }
        let known = self.entries.get(&update.record.id);
        if known.is_some_and(|entry| entry.has_left(now) || entry.outlasts(&update)) {
            return false;
        }
        self.apply_departure(update, now)
    }

    /// Replaces the directory with the full listing at `position`. Servers missing from the listing are removed.
    pub fn replace(&mut self, records: Vec<ServerRecord>, position: StorePosition, now: Timestamp) {
        self.record_epoch(position.epoch, now);
        let missing: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(id, entry)| {
                let is_confirmed = entry.departed_at.is_some() && position.is_same_epoch(entry.position);
                !is_confirmed && records.iter().all(|record| record.id != **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        if !missing.is_empty() {
            self.recheck_at = Some(now.plus_millis(EXPIRY_GRACE_MS));
        }
        for id in missing {
            self.remove(&id, position, now);
        }
        for record in records {
            self.heartbeat(record, position, now);
        }
    }

    /// Returns the servers that accept new requests.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.listed(now).filter(|record| record.state == ServerState::Ready)
    }

    /// Returns the servers whose entries exist, or expired during an outage and are still within the grace period.
    pub fn listed(&self, now: Timestamp) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.entries.values().filter(move |entry| !entry.has_left(now)).map(|entry| &entry.record)
    }

    /// Returns whether the server is listed with the start that `record` states.
    pub fn lists_incarnation(&self, record: &ServerRecord, now: Timestamp) -> bool {
        let entry = self.entries.get(&record.id);
        entry.is_some_and(|entry| !entry.has_left(now) && entry.record.started_at_ms == record.started_at_ms)
    }

    /// Returns the latest known epoch of the store.
    pub const fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns the current revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entries that changed after `revision`. For revision 0, this is the whole directory.
    pub fn changes_since(&self, revision: u64, now: Timestamp) -> Vec<DirectoryEntry> {
        // A server within the grace period after an outage may still register again.
        let is_settled = |entry: &LocalEntry| entry.departed_at.is_none() || entry.has_left(now);
        let changed = self.entries.values().filter(|entry| entry.revision > revision && is_settled(entry));
        changed.map(|entry| entry.to_directory_entry(now)).collect()
    }

    /// Returns whether it is time to ask the neighbours for their whole directories. A neighbour that read a missing server's
    /// return without having noticed that it was missing sends no change.
    pub fn take_recheck(&mut self, now: Timestamp) -> bool {
        self.recheck_at.take_if(|at| *at <= now).is_some()
    }

    /// Drops the records of servers that left at least `TOMBSTONE_MS` ago. Returns whether a server has left since the
    /// last call.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let since = std::mem::replace(&mut self.last_expire_at, now);
        let departed_since =
            |entry: &&mut LocalEntry| entry.departed_at.is_some_and(|at| at > since && at <= now);
        let mut changed = false;
        for entry in self.entries.values_mut().filter(departed_since) {
            entry.mark_changed(&mut self.revision);
            changed = true;
        }
        self.entries.retain(|_, entry| entry.departed_at.is_none_or(|at| at.plus_millis(TOMBSTONE_MS) > now));
        changed
    }

    fn heartbeat(&mut self, record: ServerRecord, position: StorePosition, now: Timestamp) -> bool {
        if let Some(entry) = self.entries.get_mut(&record.id)
            && entry.is_newer_than(&record, position)
        {
            if entry.departed_at.is_none() {
                entry.confirm(position, &mut self.revision);
            }
            return false;
        }
        if self.has_successor(&record) {
            return false;
        }
        self.supersede(&record, now);
        let Some(entry) = self.entries.get_mut(&record.id) else {
            self.revision += 1;
            let entry =
                LocalEntry { record: Arc::new(record), position, departed_at: None, revision: self.revision };
            self.entries.insert(entry.record.id.clone(), entry);
            return true;
        };
        let only_seq_changed = entry.departed_at.is_none() && record.eq_ignoring_seq(&entry.record);
        entry.confirm(position, &mut self.revision);
        entry.record = Arc::new(record);
        entry.position = if entry.is_after(position) { entry.position } else { position };
        entry.departed_at = None;
        if !only_seq_changed {
            entry.mark_changed(&mut self.revision);
        }
        !only_seq_changed
    }

    /// Removes the servers that used the address of `record` before. The entry of a crashed server remains for seconds
    /// after its successor has started.
    fn supersede(&mut self, record: &ServerRecord, now: Timestamp) {
        for (id, entry) in &mut self.entries {
            let is_former =
                entry.record.address == record.address && entry.record.started_at_ms < record.started_at_ms;
            if *id != record.id && is_former && entry.departed_at.is_none() {
                entry.departed_at = Some(now);
                entry.mark_changed(&mut self.revision);
            }
        }
    }

    /// Returns whether `record` is the known one of a departed server whose address another server uses now. The entry of a
    /// crashed server remains in the store for seconds.
    fn has_successor(&self, record: &ServerRecord) -> bool {
        let is_known = self.entries.get(&record.id).is_some_and(|entry| *entry.record == *record);
        let is_successor = |entry: &LocalEntry| {
            entry.departed_at.is_none()
                && entry.record.address == record.address
                && entry.record.started_at_ms > record.started_at_ms
        };
        is_known && self.entries.values().any(is_successor)
    }

    /// Removes a server that has left according to a neighbour. Keeps the later of the two records, so that an older
    /// one cannot add the server again.
    fn apply_departure(&mut self, update: DirectoryEntry, now: Timestamp) -> bool {
        self.revision += 1;
        let DirectoryEntry { record, position, .. } = update;
        let known = self.entries.remove(&record.id);
        let was_known = known.is_some();
        let later =
            known.map(|entry| entry.record).filter(|known| known.version_key() > record.version_key());
        let record = later.unwrap_or_else(|| Arc::new(record));
        let entry = LocalEntry { record, position, departed_at: Some(now), revision: self.revision };
        self.entries.insert(entry.record.id.clone(), entry);
        was_known
    }

    fn remove(&mut self, id: &InstanceId, position: StorePosition, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.is_after(position) {
            return false;
        }
        if entry.departed_at.is_some() {
            entry.confirm(position, &mut self.revision);
            return false;
        }
        entry.position = position;
        let grace_end = self.outage_ended_at.map(|ended| ended.plus_millis(EXPIRY_GRACE_MS));
        entry.departed_at = Some(grace_end.map_or(now, |end| end.max(now)));
        entry.mark_changed(&mut self.revision);
        true
    }
}
