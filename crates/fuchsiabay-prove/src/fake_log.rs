//! A fake of the log on virtual time.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// A record of the log with its position.
#[derive(Clone, Debug)]
pub(crate) struct StoredRecord<T> {
    pub(crate) offset: u64,
    pub(crate) at: Timestamp,
    pub(crate) data: T,
}

/// One stream of the log, with retention by time and outages.
#[derive(Debug)]
pub(crate) struct FakeLog<T> {
    records: VecDeque<StoredRecord<T>>,
    first: u64,
    retention_ms: u64,
    down_until: Timestamp,
}

impl<T: Clone> FakeLog<T> {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self { records: VecDeque::new(), first: 0, retention_ms, down_until: Timestamp::ZERO }
    }

    /// Makes the log unavailable until `until`.
    pub(crate) fn fail_until(&mut self, until: Timestamp) {
        self.down_until = self.down_until.max(until);
    }

    pub(crate) fn is_down(&self, now: Timestamp) -> bool {
        now < self.down_until
    }

    /// Appends a record and returns its offset.
    pub(crate) fn append(&mut self, now: Timestamp, data: T) -> u64 {
        let offset = self.first + self.records.len() as u64;
        self.records.push_back(StoredRecord { offset, at: now, data });
        offset
    }

    /// Drops all but the last `keep` records, as retention by size would.
    pub(crate) fn truncate(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.drop_first();
        }
    }

    /// Applies the retention, then returns the first retained offset and the records from `from` on.
    pub(crate) fn read(&mut self, now: Timestamp, from: u64) -> (u64, Vec<StoredRecord<T>>) {
        let oldest = now.minus_millis(self.retention_ms);
        while self.records.front().is_some_and(|record| record.at < oldest) {
            self.drop_first();
        }
        let skip = from.saturating_sub(self.first) as usize;
        (self.first, self.records.iter().skip(skip).cloned().collect())
    }

    fn drop_first(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }
}
