//! Settles one publish or preset switch for its author.

use crate::{Applied, ConfigRecord, PublishId, RejectReason};

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
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
    settled: Option<Settled>,
}

impl PublishTracker {
    /// Starts to follow the proposal `record`. Returns none for a snapshot, which proposes nothing.
    pub fn new(record: &ConfigRecord) -> Option<Self> {
        match record {
            ConfigRecord::Publish { publish, based_on, .. }
            | ConfigRecord::PresetSwitch { publish, based_on, .. } => {
                Some(Self { publish: publish.clone(), based_on: *based_on, settled: None })
            }
            ConfigRecord::Snapshot { .. } => None,
        }
    }

    /// Notes that the log refused the append without effect.
    pub fn append_refused(&mut self) {
        self.settled.get_or_insert(Settled::NotAppended);
    }

    /// Notes a record that was read back, with the result of reducing it.
    ///
    /// An acknowledged append and one with a lost answer are both settled here and nowhere else.
    pub fn observe(&mut self, record: &ConfigRecord, applied: &Applied) {
        if self.settled.is_some() {
            return;
        }
        let own = record.publish_id() == Some(&self.publish);
        self.settled = match applied {
            Applied::Accepted { version } if own => Some(Settled::Accepted { version: *version }),
            Applied::Rejected { reason } if own => Some(Settled::Rejected { reason: reason.clone() }),
            Applied::Accepted { version } if *version > self.based_on => Some(Settled::Rejected {
                reason: RejectReason::StaleBase { based_on: self.based_on, current: *version },
            }),
            _ => None,
        };
    }

    /// Returns the result, or `Unknown` while the record was neither read back nor made impossible.
    pub fn settled(&self) -> Settled {
        self.settled.clone().unwrap_or(Settled::Unknown)
    }
}
