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
    /// Do not begin the step until it is released.
    Hold {
        /// The step.
        step: u64,
    },
    /// Switch to the version at the beginning of the step.
    Arm {
        /// The version, which has been prepared.
        version: u64,
        /// The step.
        step: u64,
    },
    /// Revoke an arm order.
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

/// The reply of a rank to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// The order is being executed, or has already taken effect.
    Accepted,
    /// The order conflicts with the state of the rank.
    Conflict,
    /// No reply arrived. The order may have been executed, or may still be.
    Unanswered,
}
