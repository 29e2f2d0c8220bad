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
pub enum News {
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
    pub fn prove(&mut self, news: News, asked_at: Timestamp, age_ms: u64) {
        let Some(left_ms) = life_ms(news).checked_sub(age_ms) else {
            return;
        };
        let until = self.until_mut(news);
        *until = (*until).max(Some(asked_at.plus_millis(left_ms)));
    }

    /// Returns until when `news` counts as current. None before the first proof.
    pub const fn until(&self, news: News) -> Option<Timestamp> {
        match news {
            News::Config => self.config_until,
            News::Directory => self.directory_until,
        }
    }

    /// Returns whether `news` counts as current.
    pub fn is_current(&self, news: News, now: Timestamp) -> bool {
        self.current_until(news, now).is_some()
    }

    fn current_until(&self, news: News, now: Timestamp) -> Option<Timestamp> {
        self.until(news).filter(|until| now < *until)
    }

    /// Returns until when neighbours spare an instance from reading `news` from the store, if they do.
    pub fn spared_until(&self, news: News, is_reader: bool, now: Timestamp) -> Option<Timestamp> {
        if is_reader {
            return None;
        }
        if !is_mechanism_enabled("own-reading") {
            return Some(now.plus_millis(life_ms(news)));
        }
        self.current_until(news, now)
    }

    /// Returns the age of the last proof while it counts, for the answer to a neighbour.
    pub fn age_ms(&self, news: News, now: Timestamp) -> Option<u64> {
        let until = self.current_until(news, now)?;
        Some(life_ms(news).saturating_sub(until.millis_since(now)))
    }

    const fn until_mut(&mut self, news: News) -> &mut Option<Timestamp> {
        match news {
            News::Config => &mut self.config_until,
            News::Directory => &mut self.directory_until,
        }
    }
}

const fn life_ms(news: News) -> u64 {
    match news {
        News::Config => CONFIG_LIFE_MS,
        News::Directory => DIRECTORY_LIFE_MS,
    }
}
