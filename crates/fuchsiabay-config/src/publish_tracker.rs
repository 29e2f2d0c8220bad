//! Settles one publish or preset switch for its author.

use crate::{ConfigRecord, PublishId, RecordEffect, RejectReason};

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is in force from this version on.
    Accepted {
        /// The version.
        version: u64,
    },
    /// It is not in force and never will be.
    Rejected {
        /// Why.
        reason: RejectReason,
    },
    /// The log stated that it did not take the record.
    NotAppended,
    /// The record may still arrive in the log.
    Unknown,
}

/// Follows one proposal from the append until it has been read back and reduced.
///
/// Only the read-back counts. An append whose answer was lost is settled by its publish id, and a proposal that
/// has not been seen is settled as rejected once another change took its base.
#[derive(Clone, Debug)]
pub struct PublishTracker {
    publish: PublishId,
    based_on: u64,
    outcome: Option<PublishOutcome>,
}

impl PublishTracker {
    /// Starts to follow the proposal `record`. Returns none for a snapshot, which proposes nothing.
    pub fn new(record: &ConfigRecord) -> Option<Self> {
        match record {
            ConfigRecord::Publish { publish, based_on, .. }
            | ConfigRecord::PresetSwitch { publish, based_on, .. } => {
                Some(Self { publish: publish.clone(), based_on: *based_on, outcome: None })
            }
            ConfigRecord::Snapshot { .. } => None,
        }
    }

    /// Notes that the log refused the append without effect.
    pub fn append_refused(&mut self) {
        self.outcome.get_or_insert(PublishOutcome::NotAppended);
    }

    /// Notes a record that was read back, with the result of reducing it.
    ///
    /// An acknowledged append and one with a lost answer are both settled here and nowhere else.
    pub fn observe(&mut self, record: &ConfigRecord, effect: &RecordEffect) {
        if self.outcome.is_some() {
            return;
        }
        let own = record.publish_id() == Some(&self.publish);
        self.outcome = match effect {
            RecordEffect::Accepted { version } if own => Some(PublishOutcome::Accepted { version: *version }),
            RecordEffect::Rejected { reason } if own => {
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

    /// Returns the result, or `Unknown` while the record was neither read back nor made impossible.
    pub fn outcome(&self) -> PublishOutcome {
        self.outcome.clone().unwrap_or(PublishOutcome::Unknown)
    }
}
