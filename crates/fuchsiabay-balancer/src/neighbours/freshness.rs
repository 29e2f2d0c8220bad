//! Freshness of the state that an instance holds.

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

/// How long the configuration is considered current after a confirmation, in milliseconds. The store holds a reader's
/// long poll for up to 1 s, and an instance without further confirmations must still apply a change within 2 s.
const CONFIG_LIFETIME_MS: u64 = 1_500;

/// How long the directory is considered current after a confirmation, in milliseconds. Readers poll every 0.7 s, and a
/// leaving server must get no new requests after 2 s.
const DIRECTORY_LIFETIME_MS: u64 = 1_300;

/// The state that all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedState {
    /// The configuration.
    Config,
    /// The directory of backend servers.
    Directory,
}

/// Tracks how long the configuration and the directory are considered current.
///
/// They are confirmed by a response of the store, or by a neighbour's response, which states the age of the neighbour's
/// own confirmation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    config_until: Option<Timestamp>,
    directory_until: Option<Timestamp>,
}

impl Freshness {
    /// Confirms `state` by the response to a request sent at `requested_at`. `age_ms` is the age of the confirmation
    /// stated in the response.
    pub fn confirm(&mut self, state: SharedState, requested_at: Timestamp, age_ms: u64) {
        let Some(left_ms) = lifetime_ms(state).checked_sub(age_ms) else {
            return;
        };
        let until = self.until_mut(state);
        *until = (*until).max(Some(requested_at.plus_millis(left_ms)));
    }

    /// Returns the time until which `state` is considered current. `None` before the first confirmation.
    pub const fn valid_until(&self, state: SharedState) -> Option<Timestamp> {
        match state {
            SharedState::Config => self.config_until,
            SharedState::Directory => self.directory_until,
        }
    }

    /// Returns whether `state` is fresh: considered current, because a confirmation is recent enough.
    pub fn is_fresh(&self, state: SharedState, now: Timestamp) -> bool {
        self.fresh_until(state, now).is_some()
    }

    fn fresh_until(&self, state: SharedState, now: Timestamp) -> Option<Timestamp> {
        self.valid_until(state).filter(|until| now < *until)
    }

    /// Returns the time until which the instance need not read `state` from the store, because a neighbour confirmed
    /// it.
    ///
    /// `None` means that the instance must read it now.
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
            return Some(now.plus_millis(lifetime_ms(state)));
        }
        self.fresh_until(state, now)
    }

    /// Returns the age of the last confirmation for the response to a neighbour. `None` if `state` is not fresh.
    pub fn age_ms(&self, state: SharedState, now: Timestamp) -> Option<u64> {
        let until = self.fresh_until(state, now)?;
        Some(lifetime_ms(state).saturating_sub(until.millis_since(now)))
    }

    const fn until_mut(&mut self, state: SharedState) -> &mut Option<Timestamp> {
        match state {
            SharedState::Config => &mut self.config_until,
            SharedState::Directory => &mut self.directory_until,
        }
    }
}

const fn lifetime_ms(state: SharedState) -> u64 {
    match state {
        SharedState::Config => CONFIG_LIFETIME_MS,
        SharedState::Directory => DIRECTORY_LIFETIME_MS,
    }
}
