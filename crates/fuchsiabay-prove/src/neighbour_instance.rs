//! One entry instance with what it knows.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_balancer::{
    CallerLimits, ConfigSlot, Directory, DirectoryEntry, DirectoryMark, Freshness, IndexedConfig, Neighbours,
    ServingConfig, SharedState,
};
use fuchsiabay_base::Timestamp;

/// What one instance tells another.
pub(crate) struct Told {
    version: u64,
    config_age_ms: Option<u64>,
    mark: DirectoryMark,
    changes: Vec<DirectoryEntry>,
    directory_age_ms: Option<u64>,
}

/// A question to the store that was not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) asked_at_ms: u64,
}

/// An entry instance.
pub(crate) struct NeighbourInstance {
    pub(crate) addr: SocketAddr,
    pub(crate) neighbours: Neighbours,
    pub(crate) freshness: Freshness,
    pub(crate) serving: ConfigSlot,
    pub(crate) directory: Directory,
    source: u64,
    pub(crate) is_alive: bool,
    /// Until when it is gone or paused, and since when it has been well.
    pub(crate) away_until_ms: u64,
    pub(crate) well_since_ms: u64,
    pub(crate) turned_away_until_ms: u64,
    pub(crate) config_question: Option<Question>,
    pub(crate) directory_question: Option<Question>,
    pub(crate) ask_config_at_ms: u64,
    pub(crate) ask_directory_at_ms: u64,
    pub(crate) round_at_ms: u64,
    /// The offset in the log of the directory, and when it was read to there.
    pub(crate) offset: Option<(usize, u64)>,
    pub(crate) lost_store: bool,
}

impl NeighbourInstance {
    pub(crate) fn start(addr: SocketAddr, members: &[SocketAddr], source: u64, now_ms: u64) -> Self {
        let mut neighbours = Neighbours::new(addr);
        neighbours.set_members(members, members.len(), Timestamp::from_millis(now_ms));
        Self {
            addr,
            neighbours,
            freshness: Freshness::default(),
            serving: ConfigSlot::default(),
            directory: Directory::default(),
            source,
            is_alive: true,
            away_until_ms: 0,
            well_since_ms: now_ms,
            turned_away_until_ms: 0,
            config_question: None,
            directory_question: None,
            ask_config_at_ms: now_ms,
            ask_directory_at_ms: now_ms,
            round_at_ms: now_ms,
            offset: None,
            lost_store: false,
        }
    }

    pub(crate) fn is_away(&self, now_ms: u64) -> bool {
        self.away_until_ms > now_ms
    }

    pub(crate) fn lacks_news(&self, now: Timestamp) -> bool {
        let is_old = |state| !self.freshness.is_current(state, now);
        self.serving.version() == 0 || is_old(SharedState::Config) || is_old(SharedState::Directory)
    }

    /// Takes a version of the configuration. Returns the version before and after.
    pub(crate) fn offer(&mut self, version: u64) -> (u64, u64) {
        let before = self.serving.version();
        let config = ServingConfig {
            version,
            routes: Vec::new(),
            services: [].into(),
            limits: CallerLimits::default(),
            workspaces: None,
        };
        self.serving.replace_if_newer(Arc::new(IndexedConfig::new(config)));
        (before, self.serving.version())
    }

    /// Answers a neighbour that has this directory up to `mark`.
    pub(crate) fn tell(&self, mark: Option<DirectoryMark>, now: Timestamp) -> Told {
        let since = mark.filter(|mark| mark.source == self.source).map_or(0, |mark| mark.revision);
        Told {
            version: self.serving.version(),
            config_age_ms: self.freshness.age_ms(SharedState::Config, now),
            mark: DirectoryMark { source: self.source, revision: self.directory.revision() },
            changes: self.directory.changes_since(since, now),
            directory_age_ms: self.freshness.age_ms(SharedState::Directory, now),
        }
    }

    /// Takes over what the neighbour at `addr` told. Returns the version before and after.
    pub(crate) fn hear(&mut self, addr: SocketAddr, told: Told, now: Timestamp) -> (u64, u64) {
        self.neighbours.note_exchange(addr, told.version, HashMap::new(), now);
        let versions = if told.version > 0 { self.offer(told.version) } else { (0, 0) };
        for entry in told.changes {
            self.directory.merge(entry, now);
        }
        self.neighbours.set_mark(addr, told.mark);
        for (state, age_ms) in
            [(SharedState::Config, told.config_age_ms), (SharedState::Directory, told.directory_age_ms)]
        {
            if let Some(age_ms) = age_ms {
                self.freshness.confirm(state, now, age_ms);
            }
        }
        versions
    }
}
