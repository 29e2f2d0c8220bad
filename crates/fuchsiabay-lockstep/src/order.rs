//! Orders to the ranks.

use std::sync::Arc;

use crate::ExpertLayout;

/// An order to one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Copy the experts that the layout adds to this rank.
    Prepare {
        /// The version of the layout.
        version: u64,
        /// The layout of the whole group.
        layout: Arc<ExpertLayout>,
    },
    /// Do not begin the step before it is released.
    Hold {
        /// The step.
        step: u64,
    },
    /// Switch to the version as the step begins.
    Arm {
        /// The version, which was prepared.
        version: u64,
        /// The step.
        step: u64,
    },
    /// Take an arm order back.
    Disarm {
        /// The version.
        version: u64,
    },
    /// Release the step.
    Release {
        /// The step.
        step: u64,
    },
}

impl Order {
    /// Returns the name used in logs and metric labels.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Hold { .. } => "hold",
            Self::Arm { .. } => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Release { .. } => "release",
        }
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// It is being carried out, or its effect is there.
    Accepted,
    /// It does not fit the rank's state.
    Conflict,
    /// No answer came. It may have been carried out, or may be later.
    Unanswered,
}
