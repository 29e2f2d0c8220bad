//! Determines the outcome of a publish or preset switch for its author.

use crate::{ConfigRecord, PublishId, RecordEffect, RejectReason};

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The proposal was accepted and is in force from this version on.
    Accepted {
        /// The version.
        version: u64,
    },
    /// The proposal is not in force and never will be.
    Rejected {
        /// The reason.
        reason: RejectReason,
    },
    /// The log refused the record, so the proposal is not in force and never will be.
    NotAppended,
    /// The record may still appear in the log.
    Unknown,
}

/// Tracks a proposal from its append until it is read back and reduced.
///
/// Only a record read from the log determines the outcome. An append with an unknown result is recognised by its
/// publish id, and a proposal that was not read back counts as rejected once another change superseded the version
/// that it is based on.
#[derive(Clone, Debug)]
pub struct PublishTracker {
    publish: PublishId,
    based_on: u64,
    outcome: Option<PublishOutcome>,
}

impl PublishTracker {
    /// Creates the tracker of the proposal `record`. Returns `None` for a snapshot, which proposes nothing.
    pub fn new(record: &ConfigRecord) -> Option<Self> {
        match record {
            ConfigRecord::Publish { publish, based_on, .. }
            | ConfigRecord::PresetSwitch { publish, based_on, .. } => {
                Some(Self { publish: publish.clone(), based_on: *based_on, outcome: None })
            }
            ConfigRecord::Snapshot { .. } => None,
        }
    }

    /// Handles the refusal of the append, which had no effect.
    pub fn append_refused(&mut self) {
        self.outcome.get_or_insert(PublishOutcome::NotAppended);
    }

    /// Observes a record read from the log, with its effect.
    ///
    /// This determines the outcome of acknowledged appends and of those with an unknown result alike.
    pub fn observe(&mut self, record: &ConfigRecord, effect: &RecordEffect) {
        if self.outcome.is_some() {
            return;
        }
        let is_own = record.publish_id() == Some(&self.publish);
        self.outcome = match effect {
            RecordEffect::Accepted { version } if is_own => {
                Some(PublishOutcome::Accepted { version: *version })
            }
            RecordEffect::Rejected { reason } if is_own => {
                Some(PublishOutcome::Rejected { reason: reason.clone() })
            }
            RecordEffect::Accepted { version } if *version > self.based_on => {
                Some(PublishOutcome::Rejected {
                    reason: RejectReason::StaleBase { based_on: self.based_on, current: *version },
                })
            }
            _ => None,
        };
    }

    /// Returns the outcome. `Unknown` while the record was not read back and may still be accepted.
    pub fn outcome(&self) -> PublishOutcome {
        self.outcome.clone().unwrap_or(PublishOutcome::Unknown)
    }
}
