//! The configuration according to the log.

use std::sync::Arc;

use fuchsiabay_config::{ConfigRecord, ConfigReducer, PublishTracker, VersionedConfig};
use fuchsiabay_runtime::LogError;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{Exit, Report, config_log::ConfigLog};

/// The reason why the configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum ViewError {
    /// The log could not be read.
    #[error("{0}")]
    Log(#[from] LogError),
    /// Records that no retained snapshot covers have expired from the log.
    #[error("log: the configuration records have expired and no snapshot is retained")]
    NoSnapshot,
}

impl ViewError {
    /// Returns the report of a command that failed because it could not read the configuration, and changed nothing.
    pub(crate) fn report(&self) -> Report {
        let json =
            json!({"result": "unavailable", "may_have_taken_effect": false, "message": self.to_string()});
        Report::new(Exit::Unavailable, self.to_string(), json)
    }
}

/// The configuration that results from reducing the whole log.
#[derive(Debug, Default)]
pub(crate) struct ConfigView {
    reducer: ConfigReducer,
}

impl ConfigView {
    /// Reads the stream from its first retained record to its end.
    pub(crate) async fn load(log: &impl ConfigLog) -> Result<Self, ViewError> {
        let mut view = Self::default();
        view.catch_up(log, None).await?;
        if view.reducer.base_version().is_none() {
            return Err(ViewError::NoSnapshot);
        }
        Ok(view)
    }

    /// Reads the new records up to the end of the stream and passes each one to `tracker`.
    pub(crate) async fn catch_up(
        &mut self,
        log: &impl ConfigLog,
        mut tracker: Option<&mut PublishTracker>,
    ) -> Result<(), LogError> {
        loop {
            let page = log.read(self.reducer.next_offset().unwrap_or(0)).await?;
            self.reducer.skip_to(page.first);
            if page.records.is_empty() {
                return Ok(());
            }
            for record in &page.records {
                let applied = self.reducer.apply_raw(record.offset, record.at, &record.data);
                if let Some(tracker) = tracker.as_deref_mut()
                    && let Some(record) = parse_record(&record.data)
                {
                    tracker.observe(&record, &applied);
                }
            }
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn in_force(&self) -> Option<&Arc<VersionedConfig>> {
        self.reducer.in_force()
    }

    /// Returns the version in force, or 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.reducer.version()
    }
}

fn parse_record(data: &Value) -> Option<ConfigRecord> {
    ConfigRecord::deserialize(data).ok()
}
