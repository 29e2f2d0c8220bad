//! A fake of the store that the entry instances read: the configuration version and the change log of the directory.

use std::collections::BTreeMap;

use fuchsiabay_balancer::{ServerChange, ServerRecord, ServerState, StorePosition};
use fuchsiabay_base::{InstanceId, ServiceName, ZoneName};

use crate::neighbour_script::SERVERS;

/// The interval between the heartbeats of a server, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 1_200;

#[derive(Debug)]
struct Server {
    record: ServerRecord,
    is_listed: bool,
    changed_at_ms: u64,
}

/// A change in the log, and when it was written.
#[derive(Debug)]
struct Logged {
    at_ms: u64,
    change: ServerChange,
}

/// What is written again after the store has returned from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rewrite {
    Config,
    Server(usize),
}

/// The store and the servers that register with it.
#[derive(Debug)]
pub(crate) struct NeighbourStore {
    /// The newest version that was published, also if the store has lost it.
    pub(crate) version: u64,
    pub(crate) published_at_ms: u64,
    /// The versions in the store, and when they were written.
    versions: Vec<(u64, u64)>,
    servers: Vec<Server>,
    /// The change log. The offset of a change is its index.
    log: Vec<Logged>,
    /// How often the store has returned from a copy.
    epoch: u64,
    /// What is written again, and when.
    rewrites: Vec<(u64, Rewrite)>,
}

impl NeighbourStore {
    pub(crate) fn new() -> Self {
        let record = |i: usize| ServerRecord {
            id: InstanceId::new(format!("i-{i}")),
            service: ServiceName::new("s"),
            address: ([10, 0, 0, 1], 1_000 + i as u16).into(),
            zone: ZoneName::new("z"),
            slots: 4,
            state: ServerState::Ready,
            started_at_ms: 1,
            seq: 1,
            cold_left_ms: 0,
        };
        let server = |i| Server { record: record(i), is_listed: true, changed_at_ms: 0 };
        let servers: Vec<Server> = (0..SERVERS).map(server).collect();
        let mut store = Self {
            version: 1,
            published_at_ms: 0,
            versions: vec![(0, 1)],
            servers,
            log: Vec::new(),
            epoch: 0,
            rewrites: Vec::new(),
        };
        (0..SERVERS).for_each(|i| store.write_heartbeat(i, 0));
        store
    }

    pub(crate) fn publish(&mut self, now_ms: u64) {
        self.version += 1;
        self.published_at_ms = now_ms;
        self.versions.push((now_ms, self.version));
    }

    /// Returns the newest version in the store.
    pub(crate) fn stored_version(&self) -> u64 {
        self.versions.last().map_or(0, |(_, version)| *version)
    }

    /// Returns the store to the data of `age_ms` ago. The operator and the servers write again what was lost, one after the
    /// other within `rewrite_ms`.
    pub(crate) fn restore(&mut self, age_ms: u64, rewrite_ms: u64, now_ms: u64) {
        let copied_at_ms = now_ms.saturating_sub(age_ms);
        self.log.retain(|logged| logged.at_ms <= copied_at_ms);
        self.versions.retain(|(at_ms, _)| *at_ms <= copied_at_ms);
        self.epoch += 1;
        let lost = [Rewrite::Config].into_iter().chain((0..SERVERS).map(Rewrite::Server));
        let count = SERVERS + 1;
        // The order differs between restores.
        let turn = |i: usize| ((i + self.epoch as usize) % count) as u64;
        self.rewrites = lost
            .enumerate()
            .map(|(i, rewrite)| (now_ms + turn(i) * rewrite_ms / count as u64, rewrite))
            .collect();
    }

    /// Writes again what is due and was lost in a restore.
    pub(crate) fn write_lost(&mut self, now_ms: u64) {
        let due = self.rewrites.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect::<Vec<_>>();
        for (_, rewrite) in due {
            match rewrite {
                Rewrite::Config if self.stored_version() < self.version => {
                    self.versions.push((now_ms, self.version));
                }
                Rewrite::Config => {}
                Rewrite::Server(i) => self.write_lost_server(i, now_ms),
            }
        }
    }

    /// Writes the last change of a server again if the store does not have it.
    fn write_lost_server(&mut self, i: usize, now_ms: u64) {
        let Server { record, is_listed, .. } = &self.servers[i];
        let stored = self.newest().remove(&record.id);
        let change = match is_listed {
            true if stored.as_ref() != Some(record) => ServerChange::Heartbeat(record.clone()),
            false if stored.is_some() => ServerChange::Removed(record.id.clone()),
            _ => return,
        };
        self.log.push(Logged { at_ms: now_ms, change });
    }

    /// Returns the newest record of each server that the store lists.
    fn newest(&self) -> BTreeMap<InstanceId, ServerRecord> {
        let mut newest = BTreeMap::new();
        for Logged { change, .. } in &self.log {
            match change {
                ServerChange::Heartbeat(record) => newest.insert(record.id.clone(), record.clone()),
                ServerChange::Removed(id) => newest.remove(id),
            };
        }
        newest
    }

    pub(crate) fn drain(&mut self, i: usize, now_ms: u64) {
        let server = &mut self.servers[i];
        if server.is_listed && server.record.state == ServerState::Ready {
            server.record.state = ServerState::Draining;
            server.changed_at_ms = now_ms;
            self.write_heartbeat(i, now_ms);
        }
    }

    pub(crate) fn remove(&mut self, i: usize, now_ms: u64) {
        let server = &mut self.servers[i];
        if std::mem::replace(&mut server.is_listed, false) {
            server.changed_at_ms = now_ms;
            let removed = ServerChange::Removed(server.record.id.clone());
            self.log.push(Logged { at_ms: now_ms, change: removed });
        }
    }

    /// Lists a server again, as a new incarnation or as the one whose entry was removed.
    pub(crate) fn relist(&mut self, i: usize, is_restart: bool, now_ms: u64) {
        let server = &mut self.servers[i];
        let is_leaving = server.record.state == ServerState::Draining;
        if server.is_listed && !is_leaving || is_leaving && !is_restart {
            return;
        }
        if is_restart {
            server.record.started_at_ms += 1;
            server.record.seq = 0;
        }
        server.record.state = ServerState::Ready;
        server.is_listed = true;
        server.changed_at_ms = now_ms;
        self.write_heartbeat(i, now_ms);
    }

    /// Writes the heartbeats that are due.
    pub(crate) fn write_heartbeats(&mut self, now_ms: u64) {
        for i in 0..SERVERS {
            if self.servers[i].is_listed && now_ms % HEARTBEAT_INTERVAL_MS == 100 * i as u64 {
                self.write_heartbeat(i, now_ms);
            }
        }
    }

    fn write_heartbeat(&mut self, i: usize, now_ms: u64) {
        self.servers[i].record.seq += 1;
        let change = ServerChange::Heartbeat(self.servers[i].record.clone());
        self.log.push(Logged { at_ms: now_ms, change });
    }

    /// Returns the changes after `position`, each with its own. None if the store does not have them.
    pub(crate) fn read(
        &self,
        position: StorePosition,
    ) -> Option<impl Iterator<Item = (StorePosition, &ServerChange)>> {
        let from = usize::try_from(position.offset).ok()?;
        let rest = self.log.get(from..).filter(|_| position.epoch == self.epoch)?;
        let epoch = self.epoch;
        let positions = (position.offset + 1..).map(move |offset| StorePosition { epoch, offset });
        Some(positions.zip(rest.iter().map(|logged| &logged.change)))
    }

    /// Returns the position after the last change.
    pub(crate) fn end(&self) -> StorePosition {
        StorePosition { epoch: self.epoch, offset: self.log.len() as u64 }
    }

    /// Returns the listed servers.
    pub(crate) fn listing(&self) -> Vec<ServerRecord> {
        self.newest().into_values().collect()
    }

    /// Returns the id of server `i`, whether it accepts new work, and when that last changed.
    pub(crate) fn expected_state(&self, i: usize) -> (&InstanceId, bool, u64) {
        let server = &self.servers[i];
        let accepts_work = server.is_listed && server.record.state == ServerState::Ready;
        (&server.record.id, accepts_work, server.changed_at_ms)
    }
}
