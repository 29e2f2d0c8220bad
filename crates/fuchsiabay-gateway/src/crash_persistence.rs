//! Keeps the crashes of servers in the store, so that processes that start after all instances have ended know them.
//!
//! Nothing waits for the store: without it, the instances know what they have seen and what neighbours told them.

use std::{sync::Arc, time::Duration};

use fuchsiabay_balancer::{CrashRecord, StorePosition};
use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;

use crate::{CrashStore, SourceError, dependency_status::DependencyStatus, gateway::Gateway};

/// Interval at which the crashes are compared with the record.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The time after which a record is written again, in milliseconds. It states ages, because the time of day may jump. A record that
/// is loaded counts as this much older, so that crashes expire although all instances are killed again and again.
const REFRESH_MS: u64 = 5_000;

/// Loads the record and keeps it up to date. Never returns.
pub(crate) async fn run<S: CrashStore>(gateway: Arc<Gateway>, store: S) {
    let mut dependency = DependencyStatus::new("crashes");
    let mut persistence = CrashPersistence { gateway, store, has_loaded: false, stored: None };
    loop {
        let delay = match persistence.sync().await {
            Ok(()) => {
                dependency.record_ok();
                SYNC_INTERVAL
            }
            Err(error) => {
                dependency.record_error(&error);
                RETRY_DELAY
            }
        };
        Timer::after(delay).await;
    }
}

struct CrashPersistence<S> {
    gateway: Arc<Gateway>,
    store: S,
    /// Whether this process has loaded a record before.
    has_loaded: bool,
    /// None until the record has been loaded, and after another instance has replaced it.
    stored: Option<StoredRecord>,
}

/// The record in the store, as this instance knows it.
struct StoredRecord {
    record: CrashRecord,
    position: StorePosition,
    /// When the record must be written again because of the ages in it.
    refresh_at: Timestamp,
}

impl<S: CrashStore> CrashPersistence<S> {
    /// Loads the record if it is not known, and otherwise saves it if it is out of date and this instance writes to the store.
    async fn sync(&mut self) -> Result<(), SourceError> {
        let store_epoch = self.gateway.store_epoch();
        let Some(stored) = self.stored.as_ref().filter(|stored| stored.position.epoch >= store_epoch) else {
            return self.load().await;
        };
        if !self.gateway.neighbours().is_writer() {
            return Ok(());
        }
        let now = monotonic_now();
        let record = self.gateway.crashes().to_record(stored.position.epoch, now);
        if !stored.is_outdated_by(&record, now) {
            return Ok(());
        }
        let position = stored.position;
        self.save(record, position).await
    }

    async fn load(&mut self) -> Result<(), SourceError> {
        let (mut record, position) = self.store.load().await?;
        record.add_age(REFRESH_MS);
        let now = monotonic_now();
        // The ages in a record from before a restore are those of the time at which the copy was made.
        let is_current = record.store_epoch == position.epoch;
        if !record.is_empty() {
            log::info!(crashes = record.crashes.len(), epoch = record.store_epoch, is_current; "crash: record loaded");
        }
        if is_current {
            self.gateway.crashes().restore(&record, now);
        }
        // The first record is of processes that may have ended, so it is written again at once with the new ages.
        let is_first = !std::mem::replace(&mut self.has_loaded, true);
        let refresh_at = if is_first { now } else { now.plus_millis(REFRESH_MS) };
        self.stored = Some(StoredRecord { record, position, refresh_at });
        Ok(())
    }

    /// Saves `record` in place of the one at `position`. A call that fails is repeated with the same position, so that it is rejected if
    /// the first one was executed all the same.
    async fn save(&mut self, record: CrashRecord, position: StorePosition) -> Result<(), SourceError> {
        let now = monotonic_now();
        let saved = self.store.save(&record, position).await?;
        log::info!(crashes = record.crashes.len(), is_saved = saved.is_some(); "crash: record saved");
        let refresh_at = now.plus_millis(REFRESH_MS);
        self.stored = saved.map(|position| StoredRecord { record, position, refresh_at });
        Ok(())
    }
}

impl StoredRecord {
    /// Returns whether `record` must replace this one.
    fn is_outdated_by(&self, record: &CrashRecord, now: Timestamp) -> bool {
        if !self.record.has_same_evidence(record) {
            return true;
        }
        let is_of_another_epoch = self.record.store_epoch != record.store_epoch;
        !record.is_empty() && (is_of_another_epoch || self.refresh_at <= now)
    }
}
