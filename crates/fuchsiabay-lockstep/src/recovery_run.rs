//! The progress of a recovery.

use std::collections::VecDeque;

use crate::{Order, OrderReply};

/// The number of times that the orders of a stage are sent. While a third of the orders gets no reply, 64 ranks accept an order
/// within so many times in all but 1 of 300 cases.
const MAX_ATTEMPTS: u32 = 9;

/// Sends the orders of a recovery stage by stage. Orders without a reply are sent again; a conflict ends the recovery, because the
/// states are not those that it was derived from.
#[derive(Clone, Debug)]
pub struct RecoveryRun {
    /// The stages that are not complete, without the orders that were accepted.
    stages: VecDeque<Vec<(usize, Order)>>,
    attempts: u32,
}

impl RecoveryRun {
    /// Creates the run of these stages.
    pub(crate) fn new(stages: Vec<Vec<(usize, Order)>>) -> Self {
        let stages = stages.into_iter().filter(|stage| !stage.is_empty()).collect();
        Self { stages, attempts: 0 }
    }

    /// Returns the orders to send now, each with its rank. There are none once the recovery has ended; the states of the ranks must
    /// be read again then.
    pub fn orders(&self) -> Vec<(usize, Order)> {
        self.stages.front().cloned().unwrap_or_default()
    }

    /// Handles the replies to the orders, in the same sequence.
    pub fn handle_replies(&mut self, replies: &[OrderReply]) {
        let Some(stage) = self.stages.front_mut() else {
            return;
        };
        self.attempts += 1;
        let mut reply = replies.iter();
        stage.retain(|_| reply.next() != Some(&OrderReply::Accepted));
        if stage.is_empty() {
            self.stages.pop_front();
            self.attempts = 0;
        } else if replies.contains(&OrderReply::Conflict) || self.attempts >= MAX_ATTEMPTS {
            self.stages.clear();
        }
    }
}
