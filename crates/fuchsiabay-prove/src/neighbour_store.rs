//! A fake of the store that the entry instances read: the configuration version and the change log of the directory.

use fuchsiabay_balancer::{ServerChange, ServerRecord, ServerState};
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

/// The store and the servers that register with it.
#[derive(Debug)]
pub(crate) struct NeighbourStore {
    pub(crate) version: u64,
    pub(crate) published_at_ms: u64,
    servers: Vec<Server>,
    /// The change log. Each change has its position in it.
    log: Vec<(u64, ServerChange)>,
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
        };
        let server = |i| Server { record: record(i), is_listed: true, changed_at_ms: 0 };
        let servers: Vec<Server> = (0..SERVERS).map(server).collect();
        let mut store = Self { version: 1, published_at_ms: 0, servers, log: Vec::new() };
        (0..SERVERS).for_each(|i| store.write_heartbeat(i));
        store
    }

    fn append(&mut self, change: ServerChange) {
        self.log.push((self.log.len() as u64 + 1, change));
    }

    pub(crate) fn publish(&mut self, now_ms: u64) {
        self.version += 1;
        self.published_at_ms = now_ms;
    }

    pub(crate) fn drain(&mut self, i: usize, now_ms: u64) {
        let server = &mut self.servers[i];
        if server.is_listed && server.record.state == ServerState::Ready {
            server.record.state = ServerState::Draining;
            server.changed_at_ms = now_ms;
            self.write_heartbeat(i);
        }
    }

    pub(crate) fn remove(&mut self, i: usize, now_ms: u64) {
        let server = &mut self.servers[i];
        if std::mem::replace(&mut server.is_listed, false) {
            server.changed_at_ms = now_ms;
            let removed = ServerChange::Removed(server.record.id.clone());
            self.append(removed);
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
        self.write_heartbeat(i);
    }

    /// Writes the heartbeats that are due.
    pub(crate) fn write_heartbeats(&mut self, now_ms: u64) {
        for i in 0..SERVERS {
            if self.servers[i].is_listed && now_ms % HEARTBEAT_INTERVAL_MS == 100 * i as u64 {
                self.write_heartbeat(i);
            }
        }
    }

    fn write_heartbeat(&mut self, i: usize) {
        self.servers[i].record.seq += 1;
        let heartbeat = ServerChange::Heartbeat(self.servers[i].record.clone());
        self.append(heartbeat);
    }

    /// Returns the changes from `offset` on, and the offset to continue from.
    pub(crate) fn read(&self, offset: usize) -> (&[(u64, ServerChange)], usize) {
        (&self.log[offset..], self.log.len())
    }

    /// Returns the listed servers, and the offset to continue from.
    pub(crate) fn listing(&self) -> (Vec<ServerRecord>, usize) {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        (listed.map(|server| server.record.clone()).collect(), self.log.len())
    }

    /// Returns the id of server `i`, whether it accepts new work, and when that last changed.
    pub(crate) fn expected_state(&self, i: usize) -> (&InstanceId, bool, u64) {
        let server = &self.servers[i];
        let accepts_work = server.is_listed && server.record.state == ServerState::Ready;
        (&server.record.id, accepts_work, server.changed_at_ms)
    }
}
