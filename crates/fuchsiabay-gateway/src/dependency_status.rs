//! Whether the store provides what an instance reads from it.

use crate::SourceError;

/// Logs when a dependency becomes unavailable or available again, and when this instance starts or stops reading it for
/// its neighbours.
pub(crate) struct DependencyStatus {
    name: &'static str,
    is_unavailable: bool,
    is_reader: bool,
}

impl DependencyStatus {
    pub(crate) const fn new(name: &'static str) -> Self {
        Self { name, is_unavailable: false, is_reader: false }
    }

    /// Returns whether the last read failed, and no neighbour has provided the data since.
    pub(crate) const fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Records whether this instance reads the data for its neighbours.
    pub(crate) fn record_reader(&mut self, is_reader: bool) {
        if std::mem::replace(&mut self.is_reader, is_reader) != is_reader {
            log::info!(dependency = self.name, is_reader; "follow: store reader role changed");
        } else if !is_reader {
            log::info!(dependency = self.name; "follow: no recent update from neighbours, reading the store");
        }
    }

    /// Records that neighbours provide the data, so that an earlier failure of the store no longer matters.
    pub(crate) fn record_read_deferred(&mut self) {
        if std::mem::replace(&mut self.is_unavailable, false) {
            log::info!(dependency = self.name; "follow: neighbours provide updates");
        }
    }

    /// Records that the store has answered.
    pub(crate) fn record_ok(&mut self) {
        if std::mem::replace(&mut self.is_unavailable, false) {
            log::info!(dependency = self.name; "follow: dependency available again");
        }
    }

    /// Records that the store has not answered, or not as expected.
    pub(crate) fn record_error(&mut self, error: &SourceError) {
        metrics::counter!("fuchsiabay_store_errors_total", "dependency" => self.name).increment(1);
        if !std::mem::replace(&mut self.is_unavailable, true) {
            log::warn!(dependency = self.name, error:% = error; "follow: dependency unavailable");
        }
    }
}
