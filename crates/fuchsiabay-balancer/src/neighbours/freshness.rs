//! How current the things are that an instance knows.

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

/// The time for which a proof of the configuration counts, in milliseconds. A reader's question is held back for up to
/// 1 s, and an instance that is left without proofs must still put a change in force within 2 s.
const CONFIG_LIFE_MS: u64 = 1_500;

/// The time for which a proof of the directory counts, in milliseconds. Readers ask every 0.7 s, and a server that leaves
/// must get no new work within 2 s.
const DIRECTORY_LIFE_MS: u64 = 1_300;

/// What an instance must know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedState {
    /// The configuration.
    Config,
    /// The directory of backend servers.
    Directory,
}

/// Until when the configuration and the directory count as current.
///
/// A proof is an answer of the store, or a neighbour's answer with the age of its own proof.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    config_until: Option<Timestamp>,
    directory_until: Option<Timestamp>,
}

impl Freshness {
    /// Takes an answer to a question that was asked at `asked_at` as proof. `age_ms` is the age that the answer states.
    pub fn confirm(&mut self, state: SharedState, asked_at: Timestamp, age_ms: u64) {
        let Some(left_ms) = life_ms(state).checked_sub(age_ms) else {
            return;
        };
        let until = self.until_mut(state);
        *until = (*until).max(Some(asked_at.plus_millis(left_ms)));
    }

    /// Returns until when `state` counts as current. None before the first proof.
    pub const fn until(&self, state: SharedState) -> Option<Timestamp> {
        match state {
            SharedState::Config => self.config_until,
            SharedState::Directory => self.directory_until,
        }
    }

    /// Returns whether `state` counts as current.
    pub fn is_current(&self, state: SharedState, now: Timestamp) -> bool {
        self.current_until(state, now).is_some()
    }

    fn current_until(&self, state: SharedState, now: Timestamp) -> Option<Timestamp> {
        self.until(state).filter(|until| now < *until)
    }

    /// Returns until when neighbours spare an instance from reading `state` from the store, if they do.
    pub fn read_deferred_until(
        &self,
        state: SharedState,
        is_reader: bool,
        now: Timestamp,
    ) -> Option<Timestamp> {
        if is_reader {
            return None;
        }
        if !is_mechanism_enabled("own-reading") {
            return Some(now.plus_millis(life_ms(state)));
        }
        self.current_until(state, now)
    }

    /// Returns the age of the last proof while it counts, for the answer to a neighbour.
    pub fn age_ms(&self, state: SharedState, now: Timestamp) -> Option<u64> {
        let until = self.current_until(state, now)?;
        Some(life_ms(state).saturating_sub(until.millis_since(now)))
    }

    const fn until_mut(&mut self, state: SharedState) -> &mut Option<Timestamp> {
        match state {
            SharedState::Config => &mut self.config_until,
            SharedState::Directory => &mut self.directory_until,
        }
    }
}

const fn life_ms(state: SharedState) -> u64 {
    match state {
        SharedState::Config => CONFIG_LIFE_MS,
        SharedState::Directory => DIRECTORY_LIFE_MS,
    }
}
